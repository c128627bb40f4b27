#include "masticslip/flow/companion_flow_core.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// A process without any event for this long has stood still.
constexpr std::chrono::milliseconds freeze_limit{1'000};
/// A frozen process waits at most this long for an entry to confirm its policy.
constexpr std::chrono::seconds freeze_give_up{4};
/// A caller gives up an opening after 1.4 s; one that was accepted at the last
/// moment may need some retransmissions to go on.
constexpr std::chrono::seconds half_open_limit{5};
/// How long ended and absent flows are remembered, so that late packets do not
/// start a look-up.
constexpr std::chrono::seconds ended_limit{5};
/// A new flow counts as a request in flight for this long before its first
/// data: several round trips to a caller. After that its caller pauses or has
/// gone.
constexpr std::chrono::milliseconds first_request_limit{50};
/// Sequence numbers may differ by this much from what was last seen: the
/// largest window of data in flight.
constexpr std::uint32_t sequence_window = 76'800;
/// Requests in flight for each slot of the upstream beyond which new flows go
/// elsewhere: the upstream's own queue holds about three times its slots.
constexpr std::uint32_t in_flight_per_slot = 4;
/// The same for a cold upstream, which works more slowly.
constexpr std::uint32_t cold_in_flight_per_slot = 2;
/// Entries that were silent for this long are forgotten.
constexpr std::chrono::seconds entry_memory{30};
/// An entry that has not said hello for this long gets reports all the same:
/// it may have restarted and know nobody.
constexpr std::chrono::milliseconds entry_silence{1'500};
constexpr std::chrono::milliseconds sweep_interval{500};
/// Pointers live as long as flows may; a late removal does no harm.
constexpr std::chrono::seconds pointer_sweep_interval{5};
/// Most flows of others that are pointed to: some 4 MB.
constexpr std::size_t max_pointers = 50'000;
/// Idle flows are forgotten after this time if the policy states none.
constexpr std::chrono::seconds default_idle_limit{15};

/// Signed distance of two sequence numbers.
std::int32_t distance(std::uint32_t from, std::uint32_t to)
{
    return static_cast<std::int32_t>(to - from);
}

} // namespace

companion_flow_core::companion_flow_core(
    companion_flow_settings values,
    companion_flow_output& output,
    flow_event_sink& events)
    : settings(std::move(values)), output(output), events(events),
      policy_in_force(std::make_shared<policy>()),
      monitor({this->settings.status_interval}),
      freeze(freeze_limit, freeze_give_up)
{
}

void companion_flow_core::on_policy(
    time_point now, std::shared_ptr<const policy> value)
{
    this->observe(now);
    if (value->revision() <= this->policy_in_force->revision())
    {
        return;
    }
    this->policy_in_force = std::move(value);
    const bool withdrawn = this->policy_in_force->value().is_withdrawn(
        this->settings.failure_domain);
    if (this->was_withdrawn && !withdrawn)
    {
        this->monitor.assume_cold();
    }
    this->was_withdrawn = withdrawn;
    this->emit(
        now, flow_event_kind::policy_in_force, {}, {}, result_code::done);
    this->send_reports(now);
}

bool companion_flow_core::on_status(
    time_point now, const upstream_status& status)
{
    this->observe(now);
    const upstream_status* known = this->monitor.status();
    const bool changed =
        known == nullptr || known->incarnation != status.incarnation ||
        known->is_draining != status.is_draining ||
        (known->cold_for.count() > 0) != (status.cold_for.count() > 0);
    const bool is_restart =
        known != nullptr && known->incarnation != status.incarnation;
    if (this->monitor.on_status(status, now) != status_outcome::accepted)
    {
        this->emit(
            now, flow_event_kind::status_refused, {}, {},
            result_code::dropped_stale, status.incarnation.id);
        return false;
    }
    if (is_restart)
    {
        // The former incarnation answers nothing any more.
        for (auto& item : this->flows)
        {
            this->set_waiting(item.second, false);
        }
    }
    if (changed)
    {
        this->emit(
            now, flow_event_kind::upstream_changed, {}, {},
            this->monitor.refusal(now), status.incarnation.id);
        this->send_reports(now);
    }
    return true;
}

bool companion_flow_core::on_departure(
    time_point now, const upstream_incarnation& incarnation)
{
    this->observe(now);
    if (!this->monitor.on_departure(incarnation))
    {
        this->emit(
            now, flow_event_kind::status_refused, {}, {},
            result_code::dropped_stale, incarnation.id);
        return false;
    }
    this->emit(
        now, flow_event_kind::upstream_changed, {}, {},
        result_code::not_run_upstream_leaving, incarnation.id);
    this->send_reports(now);
    return true;
}

void companion_flow_core::on_caller_packet(
    time_point now, instance_id entry, const flow_packet& packet)
{
    this->observe(now);
    if (packet.is_opening())
    {
        this->on_opening(now, entry, packet);
        return;
    }
    const auto found = this->flows.find(packet.flow);
    if (found == this->flows.end())
    {
        this->on_unknown_flow(now, entry, packet);
        return;
    }
    flow_record& flow = found->second;
    const bool foreign = flow.state == flow_state::absent ||
                         (flow.state == flow_state::half_open &&
                          !acknowledges(flow, packet.acknowledged));
    if (foreign)
    {
        this->return_packet(now, entry, packet);
        return;
    }
    flow.entry = entry;
    flow.last_packet = now;
    if (flow.state == flow_state::half_open)
    {
        this->set_state(flow, flow_state::open);
    }
    this->note_caller_data(flow, packet);
    this->pass_to_upstream(now, packet);
}

void companion_flow_core::on_opening(
    time_point now, instance_id entry, const flow_packet& packet)
{
    const auto found = this->flows.find(packet.flow);
    const bool is_known = found != this->flows.end() &&
                          found->second.opening_sequence == packet.sequence;
    if (is_known && found->second.state == flow_state::open)
    {
        // A late copy; the entry has not heard of the acceptance.
        this->output.send(
            entry,
            flow_opened{
                packet.flow, found->second.first_sequence, this->load(now)});
        return;
    }
    const bool is_copy =
        is_known && found->second.state == flow_state::half_open;
    const result_code code = this->admission(now, packet);
    const bool limits_only = code == result_code::not_run_upstream_cold ||
                             code == result_code::not_run_overloaded;
    if (code != result_code::done && !(is_copy && limits_only))
    {
        this->refuse(now, entry, packet, code);
        return;
    }
    if (found != this->flows.end() && !is_copy)
    {
        // The caller uses the port anew.
        this->set_waiting(found->second, false);
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
        flow.opening_sequence = packet.sequence;
        flow.caller_sequence = packet.sequence;
        this->set_waiting(flow, true);
        this->reservations.push_back({now, packet.flow});
        this->cold_limit.note(now);
    }
    this->pass_to_upstream(now, packet);
}

result_code
companion_flow_core::route_admission(const flow_packet& packet) const
{
    const policy& current = *this->policy_in_force;
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
    if (this->freeze.must_wait(now))
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
    if (current.is_cold && current.cold_room == 0)
    {
        return result_code::not_run_upstream_cold;
    }
    return result_code::done;
}

void companion_flow_core::refuse(
    time_point now,
    instance_id entry,
    const flow_packet& packet,
    result_code reason)
{
    this->emit(now, flow_event_kind::flow_refused, packet.flow, entry, reason);
    this->output.send(
        entry, flow_refused{packet.flow, reason, this->load(now)});
}

void companion_flow_core::on_unknown_flow(
    time_point now, instance_id entry, const flow_packet& packet)
{
    if (this->monitor.has_seen_whole_life())
    {
        this->return_packet(now, entry, packet);
        return;
    }
    flow_record& flow = this->flows[packet.flow];
    flow.state = flow_state::probing;
    flow.entry = entry;
    flow.created = now;
    flow.last_packet = now;
    this->pass_to_upstream(now, packet);
}

void companion_flow_core::return_packet(
    time_point now, instance_id entry, const flow_packet& packet)
{
    this->emit(
        now, flow_event_kind::packet_returned, packet.flow, entry,
        result_code::dropped_unknown_flow);
    this->output.send(
        entry, packet_returned{{packet.raw.begin(), packet.raw.end()}});
}

void companion_flow_core::pass_to_upstream(
    time_point now, const flow_packet& packet)
{
    const bool expects_answer = packet.flags.opens || packet.payload_size > 0;
    if (expects_answer)
    {
        this->monitor.on_packet_sent(now);
    }
    this->output.send_to_upstream(packet.raw);
}

bool companion_flow_core::acknowledges(
    const flow_record& flow, std::uint32_t number)
{
    const std::int32_t ahead = distance(flow.first_sequence, number);
    return flow.accepted && ahead >= 0 &&
           ahead <= static_cast<std::int32_t>(sequence_window);
}

void companion_flow_core::note_caller_data(
    flow_record& flow, const flow_packet& packet)
{
    flow.caller_closed = flow.caller_closed || packet.flags.closes;
    if (packet.flags.resets || (flow.caller_closed && flow.upstream_closed))
    {
        this->set_waiting(flow, false);
        this->set_state(flow, flow_state::ended);
        return;
    }
    const std::uint32_t end = packet.sequence + packet.payload_size;
    const bool is_new = flow.state == flow_state::probing ||
                        distance(flow.caller_sequence, end) > 0;
    if (packet.payload_size == 0 || !is_new)
    {
        return;
    }
    flow.caller_sequence = end;
    if (flow.state == flow_state::open)
    {
        flow.is_reserved = false;
        this->set_waiting(flow, true);
    }
}

void companion_flow_core::on_upstream_packet(
    time_point now, const flow_packet& packet)
{
    this->observe(now);
    this->monitor.on_packet_received(now);
    if (packet.flags.bounced)
    {
        this->on_bounced(now, packet);
        return;
    }
    flow_record& flow = this->flows[packet.flow];
    if (flow.created == time_point{})
    {
        flow.created = now;
        flow.state = flow_state::probing;
    }
    flow.last_packet = now;
    if (packet.flags.opens)
    {
        this->on_accepted(now, flow, packet);
    }
    else
    {
        this->note_upstream_data(flow, packet);
    }
    this->output.send_to_caller(packet.flow.caller, packet.raw);
}

void companion_flow_core::on_accepted(
    time_point now, flow_record& flow, const flow_packet& packet)
{
    const bool is_first = !flow.accepted;
    flow.accepted = true;
    flow.first_sequence = packet.sequence;
    flow.upstream_sequence = packet.sequence;
    if (!is_first || flow.entry.value == 0)
    {
        return;
    }
    this->output.send(
        flow.entry, flow_opened{packet.flow, packet.sequence, this->load(now)});
    this->emit(
        now, flow_event_kind::flow_opened, packet.flow, flow.entry,
        result_code::done);
}

void companion_flow_core::note_upstream_data(
    flow_record& flow, const flow_packet& packet)
{
    if (flow.state == flow_state::probing || flow.state == flow_state::absent)
    {
        this->set_state(flow, flow_state::open);
        if (flow.entry.value != 0)
        {
            this->output.send(
                flow.entry, owner_answer{packet.flow, ownership::owned});
        }
    }
    flow.accepted = true;
    flow.upstream_sequence = packet.sequence;
    flow.upstream_closed = flow.upstream_closed || packet.flags.closes;
    if (packet.payload_size > 0)
    {
        this->set_waiting(flow, false);
    }
    if (packet.flags.resets || (flow.caller_closed && flow.upstream_closed))
    {
        this->set_waiting(flow, false);
        this->set_state(flow, flow_state::ended);
    }
}

void companion_flow_core::on_bounced(time_point now, const flow_packet& packet)
{
    const auto found = this->flows.find(packet.flow);
    if (found == this->flows.end())
    {
        return;
    }
    flow_record& flow = found->second;
    const instance_id entry = flow.entry;
    if (packet.is_opening())
    {
        this->set_waiting(flow, false);
        this->set_state(flow, flow_state::ended);
        this->flows.erase(found);
        if (entry.value != 0)
        {
            this->refuse(
                now, entry, packet, result_code::not_run_upstream_refused);
        }
        return;
    }
    const bool was_open = flow.state == flow_state::open;
    this->set_waiting(flow, false);
    this->set_state(flow, was_open ? flow_state::ended : flow_state::absent);
    if (was_open)
    {
        this->emit(
            now, flow_event_kind::flow_reset, packet.flow, entry,
            result_code::unknown_flow_lost);
        this->output.reset_caller(packet.flow, packet.acknowledged);
        this->flows.erase(packet.flow);
    }
    else if (entry.value != 0 && !packet.flags.resets)
    {
        this->return_packet(now, entry, packet);
    }
}

void companion_flow_core::set_waiting(flow_record& flow, bool value)
{
    if (flow.awaits_answer != value)
    {
        flow.awaits_answer = value;
        this->in_flight += value ? 1U : -1U;
    }
}

void companion_flow_core::set_state(flow_record& flow, flow_state state)
{
    const bool was_open = flow.state == flow_state::open;
    const bool is_open = state == flow_state::open;
    if (is_open != was_open)
    {
        this->open_flows += is_open ? 1U : -1U;
    }
    flow.state = state;
}

ownership companion_flow_core::ownership_of(
    const flow_ends& flow, std::uint32_t acknowledged) const
{
    const auto found = this->flows.find(flow);
    const ownership unknown = this->monitor.has_seen_whole_life()
                                  ? ownership::absent
                                  : ownership::uncertain;
    if (found == this->flows.end())
    {
        return unknown;
    }
    const flow_record& record = found->second;
    switch (record.state)
    {
    case flow_state::half_open:
        return acknowledges(record, acknowledged) ? ownership::owned
                                                  : ownership::absent;
    case flow_state::open:
    case flow_state::ended:
        return ownership::owned;
    case flow_state::absent:
        return ownership::absent;
    case flow_state::probing:
        break;
    }
    return unknown;
}

void companion_flow_core::on_message(
    time_point now, instance_id sender, const flow_message& message)
{
    this->observe(now);
    if (const auto* hello = std::get_if<entry_hello>(&message))
    {
        this->on_hello(now, sender, *hello);
    }
    else if (const auto* query = std::get_if<owner_query>(&message))
    {
        this->output.send(sender, this->answer_of(*query));
    }
    else if (const auto* hint = std::get_if<owner_hint>(&message))
    {
        this->take_hint(now, *hint);
    }
}

owner_answer companion_flow_core::answer_of(const owner_query& query) const
{
    owner_answer result;
    result.flow = query.flow;
    result.answer = this->ownership_of(query.flow, query.acknowledged);
    const auto found = this->pointers.find(query.flow);
    if (found != this->pointers.end())
    {
        result.owner = found->second.owner;
    }
    return result;
}

void companion_flow_core::take_hint(time_point now, const owner_hint& hint)
{
    if (this->pointers.size() < max_pointers)
    {
        this->pointers[hint.flow] = {hint.owner, now};
    }
}

void companion_flow_core::forget_hints(time_point now)
{
    for (auto item = this->pointers.begin(); item != this->pointers.end();)
    {
        if (now - item->second.told > this->settings.flow_age_limit)
        {
            this->pointers.erase(item++);
        }
        else
        {
            ++item;
        }
    }
}

void companion_flow_core::on_hello(
    time_point now, instance_id sender, const entry_hello& message)
{
    known_entry& entry = this->entries[sender];
    entry.heard = now;
    if (message.policy_revision > this->policy_in_force->revision())
    {
        this->output.fetch_policy(sender);
    }
    else if (message.policy_revision == this->policy_in_force->revision())
    {
        this->freeze.on_answer(now);
    }
    if (!message.is_listed)
    {
        this->output.on_not_listed();
    }
    entry.reported = now;
    this->output.send(sender, this->report(now));
}

void companion_flow_core::expire_reservations(time_point now)
{
    while (!this->reservations.empty() &&
           now - this->reservations.front().made > first_request_limit)
    {
        const reservation item = this->reservations.front();
        this->reservations.pop_front();
        const auto found = this->flows.find(item.flow);
        if (found != this->flows.end() && found->second.created == item.made &&
            found->second.is_reserved)
        {
            this->set_waiting(found->second, false);
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
    if (result.is_cold)
    {
        const auto* service = this->policy_in_force->find_service(
            make_service_id(this->settings.service));
        const double rate =
            service == nullptr ? 0 : service->cold_flows_per_second;
        const std::uint32_t bearable =
            result.concurrency * cold_in_flight_per_slot;
        const std::uint32_t slots_room =
            bearable - std::min(bearable, this->in_flight);
        // A rate of zero states no limit.
        result.cold_room =
            rate > 0 ? std::min(slots_room, this->cold_limit.room(now, rate))
                     : slots_room;
    }
    const bool withdrawn = this->policy_in_force->value().is_withdrawn(
        this->settings.failure_domain);
    if (result.refusal == result_code::done && withdrawn)
    {
        result.refusal = result_code::not_run_domain_withdrawn;
    }
    else if (
        result.refusal == result_code::done &&
        this->in_flight >= result.concurrency * in_flight_per_slot)
    {
        result.refusal = result_code::not_run_overloaded;
    }
    return result;
}

companion_report companion_flow_core::report(time_point now)
{
    companion_report result;
    result.name = this->settings.name;
    result.service = this->settings.service;
    result.failure_domain = this->settings.failure_domain;
    result.packet_address = this->settings.packet_address;
    result.load = this->load(now);
    result.policy_revision = this->policy_in_force->revision();
    result.entry_count = static_cast<std::uint32_t>(this->entries.size());
    result.is_stopping = this->stopping;
    result.has_left = this->monitor.has_departed();
    return result;
}

void companion_flow_core::send_reports(time_point now)
{
    const flow_message message = this->report(now);
    for (auto& [id, entry] : this->entries)
    {
        entry.reported = now;
        this->output.send(id, message);
    }
}

void companion_flow_core::on_tick(time_point now)
{
    this->observe(now);
    const result_code refusal = this->monitor.refusal(now);
    if (refusal != this->last_refusal)
    {
        this->last_refusal = refusal;
        this->emit(
            now, flow_event_kind::upstream_changed, {}, {}, refusal,
            "acceptance");
        this->send_reports(now);
    }
    for (auto item = this->entries.begin(); item != this->entries.end();)
    {
        const duration silence = now - item->second.heard;
        if (silence > entry_memory)
        {
            item = this->entries.erase(item);
            continue;
        }
        if (silence > entry_silence &&
            now - item->second.reported > entry_silence)
        {
            item->second.reported = now;
            this->output.send(item->first, this->report(now));
        }
        ++item;
    }
    if (now >= this->next_sweep)
    {
        this->next_sweep = now + sweep_interval;
        this->forget_flows(now);
    }
    if (now >= this->next_pointer_sweep)
    {
        this->next_pointer_sweep = now + pointer_sweep_interval;
        this->forget_hints(now);
    }
}

void companion_flow_core::on_stop(time_point now)
{
    this->stopping = true;
    this->send_reports(now);
}

void companion_flow_core::forget_flows(time_point now)
{
    const auto idle = this->policy_in_force->idle_limit();
    const duration idle_limit =
        idle.count() == 0 ? duration(default_idle_limit) : duration(idle);
    for (auto item = this->flows.begin(); item != this->flows.end();)
    {
        flow_record& flow = item->second;
        duration limit = idle_limit;
        if (flow.state == flow_state::half_open ||
            flow.state == flow_state::probing)
        {
            limit = half_open_limit;
        }
        else if (flow.state != flow_state::open)
        {
            limit = ended_limit;
        }
        if (now - flow.last_packet > limit)
        {
            this->set_waiting(flow, false);
            this->set_state(flow, flow_state::ended);
            this->flows.erase(item++);
        }
        else
        {
            ++item;
        }
    }
}

void companion_flow_core::observe(time_point now)
{
    if (this->freeze.observe(now))
    {
        this->monitor.distrust();
        this->emit(
            now, flow_event_kind::freeze_detected, {}, {},
            result_code::dropped_stale);
    }
}

void companion_flow_core::emit(
    time_point now,
    flow_event_kind kind,
    const flow_ends& flow,
    instance_id peer,
    result_code code,
    std::string_view detail)
{
    flow_event event;
    event.kind = kind;
    event.code = code;
    event.flow = flow;
    event.peer = peer;
    event.policy_revision = this->policy_in_force->revision();
    event.load = this->load(now);
    if (this->monitor.status() != nullptr)
    {
        event.view_age = now - this->monitor.heard_at();
    }
    event.detail = detail;
    this->events.on_event(now, event);
}

} // namespace masticslip
