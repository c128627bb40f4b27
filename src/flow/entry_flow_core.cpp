#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/core/rendezvous.hpp"
#include "masticslip/flow/detail/sequence_window.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// Hints are sent for flows that are open for this long: by then most flows
/// with a single request have ended.
constexpr std::chrono::seconds hint_delay{1};
/// While a companion probes whether its upstream holds a flow, one packet per
/// interval is forwarded, so that a wrong upstream receives few.
constexpr std::chrono::milliseconds probe_interval{100};
/// Retention time of closing flows, for late packets.
constexpr std::chrono::seconds closing_limit{5};
constexpr std::chrono::seconds default_idle_limit{15};
constexpr std::chrono::milliseconds sweep_interval{500};
/// A process without any event for this long was suspended.
constexpr std::chrono::milliseconds freeze_limit{1'000};
/// What is read this soon after a freeze may have been sent during it.
constexpr std::chrono::milliseconds backlog_time{100};

} // namespace

entry_flow_core::entry_flow_core(
    entry_flow_settings values,
    entry_flow_output& output,
    flow_event_sink& events)
    : settings(std::move(values)), output(output), events(events),
      placement(find_placement_rule(this->settings.placement)),
      evidence(this->settings.policy_time_limit),
      freeze(freeze_limit, this->settings.policy_time_limit)
{
}

void entry_flow_core::on_policy(
    time_point now,
    const std::shared_ptr<const policy>& value,
    instance_id source)
{
    if (this->first_policy_at == time_point{} && value->is_known())
    {
        this->first_policy_at = now;
        this->first_policy_position = value->position();
    }
    const std::shared_ptr<const policy> previous = this->policies.current();
    const offer_result result = this->policies.offer(now, value, source);
    if (result.older_version_ignored)
    {
        this->emit(
            now, flow_event_kind::policy_kept, {}, {},
            result_code::dropped_stale);
    }
    if (previous->value().number != this->current_policy().value().number)
    {
        this->last_version_at = now;
    }
    if (result.contents_changed)
    {
        this->former.record(*previous, this->current_policy());
        this->on_policy_changed(now);
    }
}

void entry_flow_core::on_packet_without_route(
    time_point now, const flow_packet& packet)
{
    // A policy that is older than the flow lacks its route, too.
    const bool is_removed = this->former.contains(packet.flow.target);
    if (is_removed && !packet.is_opening() && this->knows_newer_policy())
    {
        return;
    }
    this->flows.erase(packet.flow);
    if (!packet.flags.resets && (packet.is_opening() || is_removed))
    {
        this->emit(
            now, flow_event_kind::flow_rejected, packet.flow, {},
            result_code::not_run_no_route);
        this->output.reset_caller(packet.flow, packet.acknowledged);
    }
}

void entry_flow_core::on_policy_changed(time_point now)
{
    this->emit(
        now, flow_event_kind::policy_in_force, {}, this->policies.source(),
        result_code::done, 0, 0, {},
        describe_policy(this->current_policy(), this->status_of_policy(now)));
    this->send_hello_to_all(now);
}

void entry_flow_core::on_policy_confirmed(time_point now, time_point time)
{
    const bool was_due = this->evidence.is_check_due(now);
    this->evidence.confirm(time);
    if (was_due && !this->evidence.is_check_due(now))
    {
        // Spares the other entries their checks.
        this->send_hello_to_all(now);
    }
}

policy_status entry_flow_core::status_of_policy(time_point now) const
{
    return {
        now - this->policies.applied_at(), this->policies.source(),
        this->evidence.age(now)};
}

void entry_flow_core::report_evidence(time_point now)
{
    if (!this->current_policy().is_known())
    {
        return;
    }
    if (const auto change = this->evidence.observe_staleness(now))
    {
        this->emit(
            now, *change, {}, {}, result_code::done, 0, 0, {},
            describe_policy(
                this->current_policy(), this->status_of_policy(now)));
    }
}

void entry_flow_core::on_listed(time_point now, const companion_record& record)
{
    if (this->directory.on_listed(now, record))
    {
        this->emit(
            now, flow_event_kind::member_joined, {}, record.id,
            result_code::done);
        this->update_stated_counts(now);
        this->send_hello(now, *this->directory.find(record.id));
    }
}

void entry_flow_core::on_unlisted(time_point now, instance_id id)
{
    this->directory.on_unlisted(id);
    if (directory_member* member = this->directory.find(id))
    {
        this->send_hello(now, *member);
    }
}

void entry_flow_core::on_list_read(time_point now)
{
    this->list_read_at = this->list_read_at.value_or(now);
}

void entry_flow_core::on_caller_packet(
    time_point now, const flow_packet& packet)
{
    if (!this->current_policy().is_known())
    {
        return;
    }
    if (this->current_policy().find_route(packet.flow.target) == nullptr)
    {
        this->on_packet_without_route(now, packet);
        return;
    }
    if (packet.is_opening())
    {
        this->on_opening(now, packet);
        return;
    }
    const auto found = this->flows.find(packet.flow);
    if (found == this->flows.end())
    {
        this->start_lookup(now, packet, std::nullopt);
        return;
    }
    this->forward(now, found->second, packet);
}

void entry_flow_core::forward(
    time_point now, flow_record& flow, const flow_packet& packet)
{
    const directory_member* member = this->directory.find(flow.companion);
    const bool is_given_up =
        member != nullptr && is_out_of_contact(now, *member) &&
        this->is_lost(now, *member) && this->is_retry_safe(packet.flow);
    const bool is_ended =
        this->directory.is_gone(flow.companion) || is_given_up;
    if (member == nullptr || (packet.payload_size > 0 && is_ended))
    {
        this->look_up_again(now, packet);
        return;
    }
    if (flow.is_probe && now - flow.last_packet < probe_interval)
    {
        return;
    }
    flow.last_packet = now;
    if (packet.flags.acknowledges &&
        detail::is_within_window(flow.acknowledged, packet.acknowledged))
    {
        flow.acknowledged = packet.acknowledged;
    }
    flow.closing = flow.closing || packet.flags.closes || packet.flags.resets;
    this->output.send_packet(member->record.packet_address, packet.raw);
}

void entry_flow_core::look_up_again(time_point now, const flow_packet& packet)
{
    const flow_record record = this->flows[packet.flow];
    this->flows.erase(packet.flow);
    std::optional<instance_id> except;
    owner_state owner = owner_state::unknown;
    // Two upstreams may have accepted copies of the opening: the caller
    // acknowledges the numbers of the one with which it has continued.
    const bool is_owner =
        record.is_evident &&
        detail::is_within_window(record.acknowledged, packet.acknowledged);
    const bool is_gone = this->directory.is_gone(record.companion);
    if (is_owner && is_gone)
    {
        except = record.companion;
        owner = owner_state::departed;
    }
    else if (
        record.confirmed && !is_gone &&
        this->directory.find(record.companion) == nullptr)
    {
        owner = owner_state::unreachable;
    }
    this->start_lookup(now, packet, except, owner);
}

bool entry_flow_core::is_retry_safe(const flow_endpoints& flow) const
{
    const route_definition* route =
        this->current_policy().find_route(flow.target);
    return route != nullptr && is_repeatable(route->kind);
}

std::vector<instance_id> entry_flow_core::ranked_companions(
    service_id service, const flow_endpoints& flow, std::size_t count) const
{
    return highest_ranked(this->directory.of_service(service), flow, count);
}

std::vector<instance_id> entry_flow_core::highest_ranked(
    const std::vector<instance_id>& ids,
    const flow_endpoints& flow,
    std::size_t count)
{
    if (ids.size() <= count)
    {
        return ids;
    }
    std::vector<weighted_instance> members;
    members.reserve(ids.size());
    for (const instance_id id : ids)
    {
        members.push_back({id, 1});
    }
    return rank_candidates(hash_flow_endpoints(flow), members, count);
}

void entry_flow_core::on_returned_packet(
    time_point now, instance_id sender, const flow_packet& packet)
{
    const auto found = this->flows.find(packet.flow);
    if (found != this->flows.end() && found->second.companion == sender)
    {
        this->flows.erase(found);
    }
    else if (found != this->flows.end())
    {
        this->forward(now, found->second, packet);
        return;
    }
    this->start_lookup(now, packet, sender);
}

void entry_flow_core::on_message(
    time_point now, instance_id sender, const flow_message& message)
{
    this->observe(now);
    this->contact.on_message_received(now);
    this->directory.on_message_received(sender);
    if (const auto* report = std::get_if<companion_report>(&message))
    {
        this->on_report(now, sender, *report);
    }
    else if (const auto* opened = std::get_if<flow_opened>(&message))
    {
        this->on_opened(now, sender, *opened);
        this->record_sequence(sender, *opened);
    }
    else if (const auto* refused = std::get_if<flow_refused>(&message))
    {
        this->on_refused(now, sender, *refused);
    }
    else if (const auto* answer = std::get_if<owner_answer>(&message))
    {
        this->on_answer(now, sender, *answer);
    }
}

void entry_flow_core::observe(time_point now)
{
    if (this->freeze.observe(now))
    {
        this->resumed_at = now;
    }
}

bool entry_flow_core::reads_backlog(time_point now) const
{
    return this->resumed_at && now - *this->resumed_at < backlog_time;
}

void entry_flow_core::on_tick(time_point now)
{
    this->observe(now);
    this->earliest_deadline.reset();
    if (this->policies.expire(now))
    {
        this->on_policy_changed(now);
    }
    this->report_evidence(now);
    const auto check_due_at = this->evidence.check_due_at();
    if (check_due_at && *check_due_at > now)
    {
        this->arm_timer(*check_due_at);
    }
    this->expire_openings(now);
    this->expire_lookups(now);
    this->check_own_link(now);
    this->send_due_hellos(now);
    this->report_contact_change(now);
    if (now >= this->next_sweep)
    {
        this->next_sweep = now + sweep_interval;
        this->expire_flows(now);
        this->expire_trials(now);
        this->remove_stale_members(now);
    }
}

void entry_flow_core::arm_timer(time_point deadline)
{
    if (!this->earliest_deadline || deadline < *this->earliest_deadline)
    {
        this->earliest_deadline = deadline;
    }
}

void entry_flow_core::expire_flows(time_point now)
{
    const auto idle = this->current_policy().idle_limit();
    const duration idle_limit =
        idle.count() == 0 ? duration(default_idle_limit) : duration(idle);
    for (auto item = this->flows.begin(); item != this->flows.end();)
    {
        const flow_record& flow = item->second;
        const duration limit =
            flow.closing ? duration(closing_limit) : idle_limit;
        const bool needs_hint = flow.confirmed && !flow.hint_sent &&
                                !flow.closing &&
                                now - flow.known_since >= hint_delay;
        if (needs_hint)
        {
            this->send_owner_hint(item->first, item->second);
        }
        const bool is_aged =
            flow.confirmed &&
            now - flow.known_since > this->settings.flow_age_limit;
        const bool is_excess = this->flows.size() > this->settings.max_flows &&
                               (flow.closing || is_aged);
        if (is_excess || now - flow.last_packet > limit)
        {
            this->flows.erase(item++);
        }
        else
        {
            ++item;
        }
    }
}

bool entry_flow_core::is_ready(time_point now) const
{
    return this->current_policy().is_known() && this->has_received_report &&
           !this->is_isolated(now) && this->reaches_all_services();
}

void entry_flow_core::emit(
    time_point now,
    flow_event_kind kind,
    const flow_endpoints& flow,
    instance_id peer,
    result_code code,
    std::uint32_t candidates,
    std::uint32_t attempts,
    duration elapsed,
    std::string_view detail)
{
    flow_event event;
    event.kind = kind;
    event.code = code;
    event.flow = flow;
    event.peer = peer;
    event.policy_position = this->current_policy().position();
    if (const directory_member* member = this->directory.find(peer))
    {
        event.load = member->load;
        event.view_age = member->load_received_at == time_point{}
                             ? duration{}
                             : now - member->load_received_at;
    }
    event.candidates = candidates;
    event.attempts = attempts;
    event.elapsed = elapsed;
    event.detail = detail;
    this->events.on_event(now, event);
}

} // namespace masticslip
