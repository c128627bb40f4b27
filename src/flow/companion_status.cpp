// Statuses and departures that a companion receives.

#include "masticslip/flow/companion_flow_core.hpp"

namespace masticslip
{

namespace
{

/// Longest part of a sender's text that is logged.
constexpr std::size_t max_logged_size = 64;

std::string describe_sender(const upstream_status& status)
{
    return "service:" + status.service.substr(0, max_logged_size) +
           ",address:" + to_string(status.address) +
           ",domain:" + status.failure_domain.substr(0, max_logged_size) +
           ",id:" + status.incarnation.id.substr(0, max_logged_size);
}

} // namespace

bool companion_flow_core::is_of_upstream(const upstream_status& status) const
{
    return status.service == this->settings.service &&
           status.failure_domain == this->settings.failure_domain &&
           status.address == this->settings.upstream_address;
}

status_outcome
companion_flow_core::on_status(time_point now, const upstream_status& status)
{
    this->observe(now);
    if (!this->is_of_upstream(status))
    {
        this->emit(
            now, flow_event_kind::status_foreign, {}, {},
            result_code::dropped_wrong_service, describe_sender(status));
        return status_outcome::foreign;
    }
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
        return status_outcome::outdated;
    }
    if (this->reads_backlog(now))
    {
        this->monitor.invalidate_status();
    }
    this->stability.on_status(
        now, status, this->open_flows + this->in_flight != 0);
    if (is_restart)
    {
        this->request_times.clear();
        this->outcomes.clear();
        this->pace.restart(now, pace_change::new_incarnation);
        this->backoff.clear();
        // The former incarnation will not answer any more.
        for (auto& item : this->flows)
        {
            this->set_awaiting_answer(item.second, false);
        }
    }
    if (changed)
    {
        this->emit(
            now, flow_event_kind::upstream_changed, {}, {},
            this->monitor.refusal(now), status.incarnation.id);
        this->send_reports(now);
    }
    return status_outcome::accepted;
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
    this->stability.on_departure();
    this->forget_service_counts();
    this->emit(
        now, flow_event_kind::upstream_changed, {}, {},
        result_code::not_run_upstream_leaving, incarnation.id);
    this->send_reports(now);
    return true;
}

} // namespace masticslip
