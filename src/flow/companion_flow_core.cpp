#include "masticslip/flow/companion_flow_core.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// A process without any event for this long was suspended.
constexpr std::chrono::milliseconds freeze_limit{1'000};
/// After a freeze, new flows wait at most this long for an entry to confirm the
/// policy.
constexpr std::chrono::seconds policy_confirmation_timeout{4};
/// A stopping process waits at most this long for answers to the requests in
/// flight: the queue of a busy upstream.
constexpr std::chrono::milliseconds stop_limit{400};
/// What is read this soon after a freeze may have been sent during it.
constexpr std::chrono::milliseconds backlog_time{100};
/// Entries without a hello for this long are removed.
constexpr std::chrono::seconds entry_retention{30};
/// An entry without a hello for this long is sent reports unsolicited: it may
/// have restarted and know no companions.
constexpr std::chrono::milliseconds hello_timeout{1'500};
constexpr std::chrono::milliseconds sweep_interval{500};
/// Interval at which expired owner hints are removed; late removal is harmless.
constexpr std::chrono::seconds hint_sweep_interval{5};
/// Maximum number of stored hints, which take about 4 MB.
constexpr std::size_t max_owner_hints = 50'000;

} // namespace

companion_flow_core::companion_flow_core(
    companion_flow_settings values,
    companion_flow_output& output,
    flow_event_sink& events)
    : settings(std::move(values)), output(output), events(events),
      evidence(this->settings.policy_time_limit),
      monitor({this->settings.status_interval}),
      freeze(freeze_limit, policy_confirmation_timeout),
      order{this->settings.process_number, 0},
      longest_idle_limit(this->stated_idle_limit())
{
}

void companion_flow_core::on_policy(
    time_point now,
    const std::shared_ptr<const policy>& value,
    instance_id source)
{
    this->observe(now);
    const offer_result result = this->policies.offer(now, value, source);
    if (result.older_version_ignored)
    {
        this->emit(
            now, flow_event_kind::policy_kept, {}, {},
            result_code::dropped_stale);
    }
    if (result.contents_changed)
    {
        this->on_policy_changed(now);
    }
}

void companion_flow_core::on_policy_changed(time_point now)
{
    const bool withdrawn = this->current_policy().value().is_withdrawn(
        this->settings.failure_domain);
    if (this->was_withdrawn && !withdrawn)
    {
        this->monitor.assume_cold();
        this->pace.restart(now, pace_change::returned_domain);
    }
    this->pace.set_target(this->fastest_target());
    this->was_withdrawn = withdrawn;
    this->longest_idle_limit =
        std::max(this->longest_idle_limit, this->stated_idle_limit());
    this->update_former_targets();
    this->emit(
        now, flow_event_kind::policy_in_force, {}, this->policies.source(),
        result_code::done,
        describe_policy(this->current_policy(), this->status_of_policy(now)));
    this->send_reports(now);
}

policy_status companion_flow_core::status_of_policy(time_point now) const
{
    return {
        now - this->policies.applied_at(), this->policies.source(),
        this->evidence.age(now)};
}

void companion_flow_core::report_evidence(time_point now)
{
    if (!this->current_policy().is_known())
    {
        return;
    }
    if (const auto change = this->evidence.observe_staleness(now))
    {
        this->emit(
            now, *change, {}, {}, result_code::done,
            describe_policy(
                this->current_policy(), this->status_of_policy(now)));
    }
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
    const bool is_not_held =
        flow.state == flow_state::absent ||
        (flow.state == flow_state::probing && !flow.accepted &&
         !this->may_hold_unanswered_flows(now)) ||
        (flow.state == flow_state::half_open &&
         !acknowledges(flow, packet.acknowledged) &&
         !this->probe_unanswered_opening(now, flow));
    if (is_not_held)
    {
        this->return_packet(now, entry, packet);
        return;
    }
    if (!may_belong_to(flow, packet))
    {
        // The upstream judges a late packet of a former flow.
        this->forward_to_upstream(now, packet);
        return;
    }
    flow.entry = entry;
    flow.last_packet = now;
    if (flow.state == flow_state::half_open)
    {
        this->set_state(flow, flow_state::open);
    }
    this->on_caller_data(flow, packet);
    this->forward_to_upstream(now, packet);
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
        this->output.send(sender, this->answer_of(now, *query));
    }
    else if (const auto* hint = std::get_if<owner_hint>(&message))
    {
        this->store_hint(now, *hint);
    }
}

owner_answer
companion_flow_core::answer_of(time_point now, const owner_query& query) const
{
    owner_answer result;
    result.flow = query.flow;
    result.acknowledged = query.acknowledged;
    result.answer = this->ownership_of(now, query.flow, query.acknowledged);
    result.acknowledged = query.acknowledged;
    const auto found = this->owner_hints.find(query.flow);
    if (found != this->owner_hints.end())
    {
        result.owner = found->second.owner;
    }
    return result;
}

void companion_flow_core::store_hint(time_point now, const owner_hint& hint)
{
    if (this->owner_hints.size() < max_owner_hints)
    {
        this->owner_hints[hint.flow] = {hint.owner, now};
    }
}

void companion_flow_core::expire_hints(time_point now)
{
    for (auto item = this->owner_hints.begin();
         item != this->owner_hints.end();)
    {
        if (now - item->second.received_at > this->settings.flow_age_limit)
        {
            this->owner_hints.erase(item++);
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
    entry.last_hello_at = now;
    this->follow_order(message.newest_report);
    // Entries do not count a companion that has left.
    if (message.service_size != 0 && !this->has_left(now))
    {
        entry.service = {message.service_size, message.service_digest};
        entry.service_stated_at = now;
    }
    const mark_relation relation = this->policies.compare(message.policy);
    if (relation == mark_relation::same_contents)
    {
        this->policies.move_to(message.policy);
    }
    if (relation == mark_relation::newer)
    {
        this->output.fetch_policy(sender);
    }
    else if (!this->reads_backlog(now))
    {
        this->evidence.confirm_by_peer(now, message.policy_evidence_age);
    }
    if (message.policy.position == this->current_policy().position() &&
        !this->reads_backlog(now))
    {
        this->freeze.on_answer(now);
    }
    if (!message.is_listed)
    {
        this->output.on_not_listed();
    }
    entry.last_report_at = now;
    this->send_report(now, sender);
}

void companion_flow_core::forget_service_counts()
{
    for (auto& [id, entry] : this->entries)
    {
        entry.service = {};
    }
}

void companion_flow_core::on_tick(time_point now)
{
    this->observe(now);
    if (this->policies.expire(now))
    {
        this->on_policy_changed(now);
    }
    this->report_evidence(now);
    if (this->has_left(now))
    {
        this->forget_service_counts();
    }
    this->watch_stability(now);
    this->report_failures(now);
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
        const duration silence = now - item->second.last_hello_at;
        if (silence > entry_retention)
        {
            item = this->entries.erase(item);
            continue;
        }
        if (silence > hello_timeout &&
            now - item->second.last_report_at > hello_timeout)
        {
            item->second.last_report_at = now;
            this->send_report(now, item->first);
        }
        ++item;
    }
    if (this->needs_presence_check(now))
    {
        this->check_presence(now);
    }
    this->notify_waiting_entries(now);
    if (now >= this->next_sweep)
    {
        this->next_sweep = now + sweep_interval;
        this->count_overdue_requests(now);
        this->expire_flows(now);
        this->update_former_targets();
    }
    if (now >= this->next_hint_sweep)
    {
        this->next_hint_sweep = now + hint_sweep_interval;
        this->expire_hints(now);
    }
}

void companion_flow_core::on_registration(bool is_continuous)
{
    this->is_registration_continuous = is_continuous;
}

void companion_flow_core::on_stop(time_point now)
{
    this->observe(now);
    this->stopping = true;
    this->stopped_at = now;
    if (!this->monitor.has_departed())
    {
        this->check_presence(now);
    }
    this->send_reports(now);
}

bool companion_flow_core::may_exit(time_point now) const
{
    if (this->awaits_presence(now))
    {
        return false;
    }
    return this->upstream_is_down() || this->in_flight == 0 ||
           now - this->stopped_at >= stop_limit;
}

void companion_flow_core::observe(time_point now)
{
    const bool has_resumed = this->freeze.observe(now);
    if (this->observing_since == time_point{})
    {
        this->monitor.on_start(now);
    }
    if (has_resumed || this->observing_since == time_point{})
    {
        this->observing_since = now;
    }
    if (has_resumed)
    {
        this->resumed_at = now;
        this->monitor.invalidate_status();
        this->monitor.forget_absence();
        this->emit(
            now, flow_event_kind::freeze_detected, {}, {},
            result_code::dropped_stale);
    }
}

bool companion_flow_core::reads_backlog(time_point now) const
{
    return this->resumed_at != time_point{} &&
           now - this->resumed_at < backlog_time;
}

void companion_flow_core::emit(
    time_point now,
    flow_event_kind kind,
    const flow_endpoints& flow,
    instance_id peer,
    result_code code,
    std::string_view detail)
{
    flow_event event;
    event.kind = kind;
    event.code = code;
    event.flow = flow;
    event.peer = peer;
    event.policy_position = this->current_policy().position();
    event.load = this->load(now);
    if (this->monitor.status() != nullptr)
    {
        event.view_age = now - this->monitor.last_status_at();
    }
    event.detail = detail;
    this->events.on_event(now, event);
}

} // namespace masticslip
