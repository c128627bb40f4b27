// Admission of new flows, and the load that it depends on.

#include "masticslip/flow/companion_flow_core.hpp"

#include "masticslip/flow/detail/sequence_window.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// A new flow counts as a request in flight for this long before its first
/// data: several round trips to a caller. A caller that sends nothing by then
/// is pausing or has gone.
constexpr std::chrono::milliseconds first_request_timeout{50};
/// Requests in flight per slot of an upstream on probation at which new flows
/// are refused: few are lost if it goes down again, and its answers show that
/// it has recovered.
constexpr std::uint32_t probation_in_flight_per_slot = 1;
/// After a suspension of this process its upstream has this long to answer
/// before it counts as silent; the monitor's limit of silence.
constexpr std::chrono::milliseconds silence_confirmation{400};

} // namespace

void companion_flow_core::on_opening(
    time_point now, instance_id entry, const flow_packet& packet)
{
    const auto found = this->flows.find(packet.flow);
    const bool is_known = found != this->flows.end() &&
                          found->second.opening_sequence == packet.sequence;
    if (is_known && found->second.state == flow_state::open)
    {
        // A late copy: the entry has not received the acceptance.
        this->output.send(
            entry,
            flow_opened{
                packet.flow, found->second.first_sequence, this->load(now)});
        return;
    }
    const bool is_copy =
        is_known && found->second.state == flow_state::half_open;
    const result_code code = this->admission(now, packet);
    const bool concerns_new_flows_only =
        code == result_code::not_run_upstream_cold ||
        code == result_code::not_run_overloaded ||
        code == result_code::not_run_upstream_refused;
    if (code != result_code::done && !(is_copy && concerns_new_flows_only))
    {
        this->refuse(now, entry, packet, code);
        return;
    }
    if (found != this->flows.end() && found->second.is_learned())
    {
        this->forward_unseen_opening(now, entry, found->second, packet);
        return;
    }
    if (found != this->flows.end() && !is_copy &&
        found->second.is_established())
    {
        this->forward_unconfirmed_opening(now, entry, found->second, packet);
        return;
    }
    if (found != this->flows.end() && !is_copy)
    {
        // The caller has reused the port.
        this->set_awaiting_answer(found->second, false);
        this->set_state(found->second, flow_state::ended);
        this->flows.erase(found);
    }
    flow_record& flow = this->flows[packet.flow];
    flow.entry = entry;
    flow.last_packet = now;
    if (!is_copy)
    {
        flow.created = now;
        flow.is_reserved = true;
        flow.opening_seen = true;
        flow.opening_sequence = packet.sequence;
        flow.caller_sequence = packet.sequence;
        this->set_awaiting_answer(flow, true);
        this->reservations.push_back({now, packet.flow});
        this->cold_limit.on_admitted(now);
        this->backoff.on_forwarded(now);
    }
    this->forward_to_upstream(now, packet);
}

void companion_flow_core::forward_unseen_opening(
    time_point now,
    instance_id entry,
    flow_record& flow,
    const flow_packet& packet)
{
    // The upstream answers either, and the entry is then told.
    flow.accepted = false;
    flow.entry = entry;
    flow.last_packet = now;
    this->cold_limit.on_admitted(now);
    this->backoff.on_forwarded(now);
    this->forward_to_upstream(now, packet);
}

void companion_flow_core::forward_unconfirmed_opening(
    time_point now,
    instance_id entry,
    flow_record& flow,
    const flow_packet& packet)
{
    flow.next = {packet.sequence, entry};
    this->cold_limit.on_admitted(now);
    this->backoff.on_forwarded(now);
    this->forward_to_upstream(now, packet);
}

void companion_flow_core::replace_flow(
    time_point now, flow_record& flow, const unconfirmed_opening& opening)
{
    const unconfirmed_opening start = opening;
    this->set_awaiting_answer(flow, false);
    this->set_state(flow, flow_state::ended);
    flow = {};
    flow.entry = start.entry;
    flow.created = now;
    flow.is_reserved = true;
    flow.opening_seen = true;
    flow.opening_sequence = start.sequence;
    flow.caller_sequence = start.sequence;
    this->set_awaiting_answer(flow, true);
}

result_code
companion_flow_core::route_admission(const flow_packet& packet) const
{
    const policy& current = this->current_policy();
    if (!current.is_known())
    {
        return result_code::not_run_no_configuration;
    }
    const route_definition* route = current.find_route(packet.flow.target);
    if (route == nullptr)
    {
        return result_code::not_run_no_route;
    }
    if (route->service != this->settings.service)
    {
        return result_code::dropped_wrong_service;
    }
    return current.value().is_withdrawn(this->settings.failure_domain)
               ? result_code::not_run_domain_withdrawn
               : result_code::done;
}

result_code
companion_flow_core::admission(time_point now, const flow_packet& packet)
{
    if (this->stopping)
    {
        return result_code::not_run_no_upstream;
    }
    if (this->freeze.is_stale(now))
    {
        return result_code::dropped_stale;
    }
    const result_code route = this->route_admission(packet);
    if (route != result_code::done)
    {
        return route;
    }
    const upstream_load current = this->load(now);
    if (current.refusal != result_code::done)
    {
        return current.refusal;
    }
    if (current.is_cold && current.cold_capacity == 0)
    {
        return result_code::not_run_upstream_cold;
    }
    if (this->flows.size() >= this->settings.max_flows)
    {
        return result_code::not_run_overloaded;
    }
    return result_code::done;
}

void companion_flow_core::refuse(
    time_point now,
    instance_id entry,
    const flow_packet& packet,
    result_code reason)
{
    const bool awaits_capacity = reason == result_code::not_run_upstream_cold ||
                                 reason == result_code::not_run_overloaded;
    if (awaits_capacity)
    {
        this->waiters.add(entry);
    }
    this->emit(now, flow_event_kind::flow_refused, packet.flow, entry, reason);
    this->output.send(
        entry, flow_refused{packet.flow, reason, this->load(now)});
}

void companion_flow_core::expire_reservations(time_point now)
{
    while (!this->reservations.empty() &&
           now - this->reservations.front().created > first_request_timeout)
    {
        const reservation item = this->reservations.front();
        this->reservations.pop_front();
        const auto found = this->flows.find(item.flow);
        if (found != this->flows.end() &&
            found->second.created == item.created && found->second.is_reserved)
        {
            this->set_awaiting_answer(found->second, false);
        }
    }
}

upstream_load companion_flow_core::load(time_point now)
{
    this->expire_reservations(now);
    upstream_load result;
    result.in_flight = this->in_flight;
    result.open_flows = this->open_flows;
    const upstream_status* status = this->monitor.status();
    result.concurrency =
        status == nullptr ? 1 : std::max(1U, status->concurrency);
    result.refusal = this->monitor.refusal(now);
    result.is_cold = this->monitor.is_cold(now);
    result.on_probation = this->stability.is_on_probation(now);
    result.request_time = this->request_times.median();
    result.request_samples = this->request_times.samples();
    result.finished_per_second = this->request_times.finished_per_second(now);
    result.outcomes = this->outcomes.recent(now);
    result.in_flight_limit = this->in_flight_limit(result);
    if (result.is_cold)
    {
        const auto* service = this->current_policy().find_service(
            make_service_id(this->settings.service));
        const double rate =
            service == nullptr ? 0 : service->cold_flows_per_second;
        const std::uint32_t allowed = result.in_flight_limit;
        const std::uint32_t free_slots =
            allowed - std::min(allowed, this->in_flight);
        // A rate of zero means no limit.
        result.cold_capacity =
            rate > 0
                ? std::min(free_slots, this->cold_limit.available(now, rate))
                : free_slots;
    }
    const bool withdrawn = this->current_policy().value().is_withdrawn(
        this->settings.failure_domain);
    if (result.refusal == result_code::done && withdrawn)
    {
        result.refusal = result_code::not_run_domain_withdrawn;
    }
    else if (
        result.refusal == result_code::done && this->backoff.is_paused(now))
    {
        result.refusal = result_code::not_run_upstream_refused;
    }
    else if (
        result.refusal == result_code::done &&
        this->in_flight >= result.in_flight_limit)
    {
        result.refusal = result_code::not_run_overloaded;
    }
    return result;
}

std::uint32_t
companion_flow_core::in_flight_limit(const upstream_load& load) const
{
    const std::uint32_t limit = this->pace.limit(load.concurrency);
    return load.on_probation
               ? std::min(
                     limit, load.concurrency * probation_in_flight_per_slot)
               : limit;
}

duration companion_flow_core::fastest_target() const
{
    duration result{};
    for (const route_definition& route : this->current_policy().value().routes)
    {
        const duration target = route.target_latency;
        if (route.service == this->settings.service && target.count() != 0 &&
            (result.count() == 0 || target < result))
        {
            result = target;
        }
    }
    return result;
}

void companion_flow_core::report_pace(time_point now)
{
    const upstream_load current = this->load(now);
    const std::uint32_t limit = current.in_flight_limit;
    if (limit == this->reported_limit || this->monitor.status() == nullptr)
    {
        return;
    }
    this->reported_limit = limit;
    const std::string detail =
        "in_flight_limit=" + std::to_string(limit) + " after=" +
        std::string(
            current.on_probation ? "probation"
                                 : to_string(this->pace.last_change())) +
        " request_time_us=" + std::to_string(current.request_time.count());
    this->emit(
        now, flow_event_kind::upstream_changed, {}, {}, current.refusal,
        detail);
}

void companion_flow_core::watch_stability(time_point now)
{
    // At two successive ticks: after a short suspension of this process the
    // answers are read between them.
    const bool is_silent = this->monitor.is_silent(now);
    const bool is_confirmed =
        is_silent && this->was_silent &&
        now - this->observing_since > silence_confirmation;
    this->was_silent = is_silent;
    if (is_confirmed && this->pace.last_change() != pace_change::silence)
    {
        this->pace.restart(now, pace_change::silence);
    }
    if (is_confirmed && this->in_flight != 0)
    {
        this->stability.on_silence(now);
    }
    else if (
        !is_silent &&
        this->monitor.last_sign_of_life() > this->stability.last_loss_at())
    {
        // A bounce ends a silence too, but comes from the machine.
        this->stability.on_answer(now);
    }
    this->report_pace(now);
    const bool on_probation = this->stability.is_on_probation(now);
    if (on_probation == this->was_on_probation &&
        this->stability.loss_count() == this->reported_losses)
    {
        return;
    }
    this->was_on_probation = on_probation;
    this->reported_losses = this->stability.loss_count();
    const std::string detail =
        on_probation ? "probation_ms=" +
                           std::to_string(this->stability.probation().count()) +
                           " after=" +
                           std::string(to_string(this->stability.last_loss()))
                     : "probation_ended";
    this->emit(
        now, flow_event_kind::upstream_changed, {}, {},
        this->monitor.refusal(now), detail);
    this->send_reports(now);
}

void companion_flow_core::on_request(flow_record& flow) const
{
    flow.request_at = flow.last_packet;
    flow.is_overdue = false;
    flow.requests_in_progress = this->in_flight;
}

void companion_flow_core::on_answer(
    const flow_record& flow, const flow_packet& packet)
{
    // A retransmitted packet of an earlier answer does not answer the request.
    const bool is_new =
        !flow.accepted ||
        detail::sequence_distance(flow.upstream_sequence, packet.sequence) >= 0;
    if (packet.payload_size == 0 || !is_new || !flow.awaits_answer ||
        flow.is_reserved || flow.request_at == time_point{})
    {
        return;
    }
    const upstream_status* status = this->monitor.status();
    if (!flow.is_overdue)
    {
        this->outcomes.on_answered(flow.last_packet);
    }
    answered_request request;
    request.started = flow.request_at;
    request.elapsed = flow.last_packet - flow.request_at;
    request.in_progress = flow.requests_in_progress;
    request.slots = status == nullptr ? 1 : std::max(1U, status->concurrency);
    this->request_times.on_answered(flow.last_packet, request);
    this->pace.on_answered(flow.last_packet, request);
}

} // namespace masticslip
