// Presence of the companion's upstream, and what follows from it.

#include "masticslip/flow/companion_flow_core.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// A stopping process waits at most this long for the result of the presence
/// check, which has a time limit of 100 ms.
constexpr std::chrono::milliseconds stop_check_limit{150};
/// Shortest interval of presence checks.
constexpr std::chrono::milliseconds presence_check_interval{250};

} // namespace

void companion_flow_core::on_presence(time_point now, upstream_presence result)
{
    this->observe(now);
    if (!this->presence_asked_at)
    {
        return;
    }
    const time_point asked_at = *this->presence_asked_at;
    this->presence_asked_at.reset();
    const bool was_absent = this->monitor.is_absent();
    if (result == upstream_presence::running)
    {
        this->monitor.on_running();
    }
    else if (
        result == upstream_presence::absent && asked_at >= this->resumed_at &&
        this->monitor.on_absent(asked_at))
    {
        // What was evicted before has ended with the upstream.
        this->evicted_until = {};
    }
    const bool is_absent = this->monitor.is_absent();
    if (is_absent != was_absent)
    {
        this->emit(
            now, flow_event_kind::upstream_changed, {}, {},
            this->monitor.refusal(now), is_absent ? "absent" : "running");
    }
    if (this->stopping && is_absent)
    {
        this->send_reports(now);
    }
}

void companion_flow_core::check_presence(time_point now)
{
    if (!this->presence_asked_at)
    {
        this->presence_asked_at = now;
        this->last_presence_check = now;
        this->output.check_presence();
    }
}

bool companion_flow_core::needs_presence_check(time_point now) const
{
    // Statuses that wait to be read after a freeze may end the need.
    return !this->stopping && !this->reads_backlog(now) &&
           this->monitor.is_status_overdue(now) &&
           now - this->last_presence_check >= presence_check_interval;
}

bool companion_flow_core::awaits_presence(time_point now) const
{
    return this->stopping && this->presence_asked_at &&
           now - this->stopped_at < stop_check_limit;
}

bool companion_flow_core::upstream_is_down() const
{
    return this->monitor.has_departed() || this->monitor.is_absent();
}

bool companion_flow_core::contradicts_absence(
    const flow_record& flow, const flow_packet& packet) const
{
    const auto absent_at = this->monitor.last_absent_at();
    if (!absent_at)
    {
        return false;
    }
    const bool is_unknown = flow.created == time_point{};
    // A known flow may have been replaced by a later opening.
    return is_unknown || (!packet.flags.opens &&
                          !(flow.opening_seen && flow.created >= *absent_at));
}

bool companion_flow_core::may_hold_unknown_flows(time_point now) const
{
    return this->may_hold_unanswered_flows(now) &&
           !this->has_outlasted_former_flows(now);
}

bool companion_flow_core::may_hold_unanswered_flows(time_point now) const
{
    const bool knows_all =
        this->monitor.is_observed_since_start() && now >= this->evicted_until;
    return !knows_all && !this->upstream_is_down();
}

bool companion_flow_core::has_outlasted_former_flows(time_point now) const
{
    return now - this->observing_since > this->longest_idle_limit &&
           now >= this->untracked_until && now >= this->evicted_until;
}

void companion_flow_core::on_untracked_flow(time_point last_packet)
{
    this->untracked_until =
        std::max(this->untracked_until, last_packet + this->longest_idle_limit);
}

} // namespace masticslip
