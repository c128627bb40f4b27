// Flow table of the companion: forwarding of packets and tracking of flow
// state.

#include "masticslip/flow/companion_flow_core.hpp"

#include "masticslip/flow/detail/sequence_window.hpp"

#include <algorithm>

namespace masticslip
{

using detail::is_within_window;
using detail::sequence_distance;
using detail::sequence_window;

namespace
{

/// Idle limit of half-open and probing flows that the upstream has not
/// accepted; the shortest one of those it has. Callers abandon an opening after
/// 1.4 s; a flow accepted just before may need some retransmissions to
/// continue.
constexpr std::chrono::seconds half_open_limit{5};
/// Retention time of ended and absent flows, so that late packets do not start
/// a lookup.
constexpr std::chrono::seconds ended_limit{5};
/// Idle limit for flows if the policy does not set one.
constexpr std::chrono::seconds default_idle_limit{15};

/// Flows beyond their age limit are evicted once the table is filled to
/// `max_flows` divided by this.
constexpr std::size_t crowded_divisor = 2;

} // namespace

void companion_flow_core::on_unknown_flow(
    time_point now, instance_id entry, const flow_packet& packet)
{
    if (!this->may_hold_unknown_flows(now))
    {
        this->return_packet(now, entry, packet);
        return;
    }
    if (this->flows.size() >= this->settings.max_flows)
    {
        // Returning it would deny the flow. An answer of the upstream is
        // recorded; a bounce is not passed on.
        this->on_untracked_flow(now);
        this->forward_to_upstream(now, packet);
        return;
    }
    flow_record& flow = this->flows[packet.flow];
    flow.state = flow_state::probing;
    flow.entry = entry;
    flow.created = now;
    flow.last_packet = now;
    this->forward_to_upstream(now, packet);
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

void companion_flow_core::forward_to_upstream(
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
    const std::int32_t ahead = sequence_distance(flow.first_sequence, number);
    return flow.accepted && ahead >= 0 &&
           ahead <= static_cast<std::int32_t>(sequence_window);
}

bool companion_flow_core::may_belong_to(
    const flow_record& flow, const flow_packet& packet)
{
    if (!flow.opening_seen || !flow.accepted)
    {
        return true;
    }
    if (!packet.flags.acknowledges)
    {
        return is_within_window(flow.caller_sequence, packet.sequence);
    }
    // Distances of more than 2 GB wrap around, so a flow has no fixed range.
    return is_within_window(flow.first_sequence, packet.acknowledged) ||
           is_within_window(flow.upstream_sequence, packet.acknowledged);
}

bool companion_flow_core::probe_unanswered_opening(
    time_point now, flow_record& flow)
{
    if (flow.accepted || !this->may_hold_unanswered_flows(now))
    {
        return false;
    }
    this->set_awaiting_answer(flow, false);
    flow.is_reserved = false;
    this->set_state(flow, flow_state::probing);
    return true;
}

void companion_flow_core::on_caller_data(
    flow_record& flow, const flow_packet& packet)
{
    flow.caller_closed = flow.caller_closed || packet.flags.closes;
    if (packet.flags.resets || (flow.caller_closed && flow.upstream_closed))
    {
        this->set_awaiting_answer(flow, false);
        this->set_state(flow, flow_state::ended);
        return;
    }
    const std::uint32_t end = packet.sequence + packet.payload_size;
    const bool is_new = flow.state == flow_state::probing ||
                        sequence_distance(flow.caller_sequence, end) > 0;
    if (packet.payload_size == 0 || !is_new)
    {
        return;
    }
    flow.caller_sequence = end;
    if (flow.state == flow_state::open)
    {
        if (flow.is_reserved)
        {
            this->pace.on_first_request(flow.last_packet - flow.created);
        }
        flow.is_reserved = false;
        this->set_awaiting_answer(flow, true);
        this->on_request(flow);
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
    this->monitor.on_sign_of_life(now);
    flow_record& flow = this->flows[packet.flow];
    if (this->contradicts_absence(flow, packet))
    {
        this->monitor.refute_absence();
    }
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
        this->on_upstream_data(flow, packet);
    }
    this->output.send_to_caller(packet.flow.caller, packet.raw);
    this->notify_waiting_entries(now);
}

void companion_flow_core::on_accepted(
    time_point now, flow_record& flow, const flow_packet& packet)
{
    this->backoff.clear();
    if (flow.next && packet.sequence != flow.first_sequence)
    {
        this->replace_flow(now, flow, *flow.next);
        flow.last_packet = now;
        this->reservations.push_back({now, packet.flow});
    }
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

void companion_flow_core::on_upstream_data(
    flow_record& flow, const flow_packet& packet)
{
    const bool is_earlier_flow = flow.state == flow_state::half_open &&
                                 !flow.accepted &&
                                 !this->monitor.is_observed_since_start();
    if (flow.state == flow_state::probing || flow.state == flow_state::absent ||
        is_earlier_flow)
    {
        this->set_state(flow, flow_state::open);
        if (flow.entry.value != 0)
        {
            this->output.send(
                flow.entry, owner_answer{packet.flow, ownership::owned});
        }
    }
    this->on_answer(flow, packet);
    if (ends_unanswered(flow, packet))
    {
        this->on_failed_request(flow.last_packet);
    }
    flow.accepted = true;
    if (packet.payload_size > 0)
    {
        // A closing packet may overtake the answer, which is not older for it.
        flow.upstream_sequence = packet.sequence;
    }
    flow.upstream_closed = flow.upstream_closed || packet.flags.closes;
    if (packet.payload_size > 0)
    {
        this->set_awaiting_answer(flow, false);
    }
    if (packet.flags.resets || (flow.caller_closed && flow.upstream_closed))
    {
        this->set_awaiting_answer(flow, false);
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
    if (packet.is_opening() && flow.is_established() &&
        packet.sequence != flow.opening_sequence)
    {
        flow.next.reset();
        return;
    }
    if (packet.is_opening())
    {
        this->backoff.on_bounced(now);
        this->pace.on_bounced(now, flow.created);
        this->set_awaiting_answer(flow, false);
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
    if (was_open && !may_belong_to(flow, packet))
    {
        // The upstream lacks a former flow from the same port.
        return;
    }
    this->set_awaiting_answer(flow, false);
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

void companion_flow_core::update_former_targets()
{
    this->former_targets.clear();
    for (const auto& [key, flow] : this->flows)
    {
        const route_definition* route =
            this->current_policy().find_route(key.target);
        const bool is_former =
            route != nullptr && route->service != this->settings.service;
        const bool is_held = flow.accepted && flow.state != flow_state::ended;
        if (is_former && is_held &&
            this->former_targets.size() <= max_former_targets)
        {
            this->former_targets.insert(key.target);
        }
    }
}

void companion_flow_core::set_awaiting_answer(flow_record& flow, bool value)
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
    time_point now,
    const flow_endpoints& flow,
    std::uint32_t acknowledged) const
{
    const auto found = this->flows.find(flow);
    const ownership unknown = this->may_hold_unknown_flows(now)
                                  ? ownership::uncertain
                                  : ownership::absent;
    if (found == this->flows.end())
    {
        return unknown;
    }
    const flow_record& record = found->second;
    const ownership unanswered = this->may_hold_unanswered_flows(now)
                                     ? ownership::uncertain
                                     : ownership::absent;
    switch (record.state)
    {
    case flow_state::half_open:
        if (!record.accepted)
        {
            // The opening may be a late copy for a flow held since before this
            // process started.
            return unanswered;
        }
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
    return unanswered;
}

duration companion_flow_core::stated_idle_limit() const
{
    const auto stated = this->current_policy().idle_limit();
    return stated.count() == 0 ? duration(default_idle_limit)
                               : duration(stated);
}

duration companion_flow_core::idle_limit_of(const flow_record& flow) const
{
    const duration limit = this->stated_idle_limit();
    if (flow.state == flow_state::open)
    {
        return limit;
    }
    if (flow.state != flow_state::half_open &&
        flow.state != flow_state::probing)
    {
        return ended_limit;
    }
    // The upstream holds an accepted flow also while the caller pauses.
    return flow.accepted ? std::max<duration>(limit, half_open_limit)
                         : duration(half_open_limit);
}

bool companion_flow_core::is_idle(time_point now, const flow_record& flow) const
{
    // Packets that arrived while the process was suspended are still unread.
    const time_point idle_since =
        std::max(flow.last_packet, this->observing_since);
    return now - idle_since > this->idle_limit_of(flow);
}

bool companion_flow_core::is_in_excess(
    time_point now, const flow_record& flow) const
{
    return this->flows.size() >= this->settings.max_flows / crowded_divisor &&
           now - flow.created > this->settings.flow_age_limit;
}

void companion_flow_core::expire_flows(time_point now)
{
    for (auto item = this->flows.begin(); item != this->flows.end();)
    {
        flow_record& flow = item->second;
        const bool idle = this->is_idle(now, flow);
        if (!idle && !this->is_in_excess(now, flow))
        {
            ++item;
            continue;
        }
        if (!idle && flow.state == flow_state::open)
        {
            this->evicted_until = now + this->idle_limit_of(flow);
        }
        const bool is_unanswered =
            !flow.accepted && (flow.state == flow_state::half_open ||
                               flow.state == flow_state::probing);
        if (is_unanswered)
        {
            this->on_untracked_flow(flow.last_packet);
        }
        this->set_awaiting_answer(flow, false);
        this->set_state(flow, flow_state::ended);
        this->flows.erase(item++);
    }
}

} // namespace masticslip
