#include "masticslip/flow/upstream_monitor.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// Time without a status after which the upstream gets no new flows, in status
/// intervals. Tolerates one delayed and one lost status.
constexpr double overdue_intervals = 2.5;
/// An upstream that does not answer packets for this long is silent. Longer
/// than the longest regular delay of an acknowledgement by the upstream.
constexpr std::chrono::milliseconds silence_limit{400};
/// Sequence number of the first status of an incarnation.
constexpr std::uint64_t first_sequence = 1;
/// Bounds the memory that departures of other senders can take.
constexpr std::size_t max_early_departures = 16;

} // namespace

void upstream_monitor::on_start(time_point now)
{
    this->observing_since = now;
}

status_outcome
upstream_monitor::on_status(const upstream_status& status, time_point now)
{
    const bool is_known = this->newest.has_value();
    const bool is_same =
        is_known && this->newest->incarnation == status.incarnation;
    if (is_same &&
        (this->departed || status.sequence <= this->newest->sequence))
    {
        return status_outcome::outdated;
    }
    if (is_known && !is_same &&
        status.incarnation.started <= this->newest->incarnation.started)
    {
        return status_outcome::outdated;
    }
    if (!is_known && this->has_departed_early(status.incarnation))
    {
        return status_outcome::outdated;
    }
    const bool fits_absence =
        !is_same && this->started_after_absence(status, now);
    if (!is_same)
    {
        this->observed_since_start =
            fits_absence || this->started_under_observation(status, now);
        this->unanswered_since.reset();
    }
    if (this->absent_at && !fits_absence)
    {
        this->refute_absence();
    }
    this->forget_absence();
    this->newest = status;
    this->status_received_at = now;
    this->sign_of_life_at = now;
    this->cold_until = now + status.cold_for;
    this->departed = false;
    this->status_valid = true;
    this->cold_until_status = false;
    return status_outcome::accepted;
}

bool upstream_monitor::started_under_observation(
    const upstream_status& status, time_point now) const
{
    if (status.sequence <= first_sequence)
    {
        return true;
    }
    // A former incarnation proves nothing: its messages may be late. One status
    // is sent in each interval, so their number bounds the sender's age.
    const auto intervals = static_cast<std::uint64_t>(
        (now - this->observing_since) / this->limits.status_interval);
    return this->newest.has_value() && status.sequence <= intervals;
}

bool upstream_monitor::started_after_absence(
    const upstream_status& status, time_point now) const
{
    if (!this->absent_at)
    {
        return false;
    }
    // The first status is sent at the start, the others at the interval.
    const auto intervals = static_cast<std::uint64_t>(
        (now - *this->absent_at) / this->limits.status_interval);
    return status.sequence <= intervals + first_sequence;
}

bool upstream_monitor::on_absent(time_point asked_at)
{
    if (!this->check_trusted || this->sign_of_life_at >= asked_at)
    {
        return false;
    }
    this->absent_at = asked_at;
    this->absent = true;
    return true;
}

void upstream_monitor::on_running()
{
    this->absent = false;
    this->check_trusted = true;
}

void upstream_monitor::forget_absence()
{
    this->absent_at.reset();
    this->absent = false;
}

void upstream_monitor::refute_absence()
{
    this->forget_absence();
    this->check_trusted = false;
}

bool upstream_monitor::on_departure(const upstream_incarnation& incarnation)
{
    if (!this->newest)
    {
        if (this->early_departures.size() < max_early_departures)
        {
            this->early_departures.push_back(incarnation);
        }
        return true;
    }
    const upstream_incarnation& known = this->newest->incarnation;
    const bool is_former =
        incarnation.started.count() != 0 && known.started > incarnation.started;
    if (known.id != incarnation.id || is_former)
    {
        return false;
    }
    // Its statuses may be late; zero if the departure does not say.
    this->newest->incarnation.started =
        std::max(this->newest->incarnation.started, incarnation.started);
    this->departed = true;
    return true;
}

bool upstream_monitor::has_departed_early(
    const upstream_incarnation& incarnation) const
{
    return std::any_of(
        this->early_departures.begin(), this->early_departures.end(),
        [&incarnation](const upstream_incarnation& departed)
        {
            return departed.id == incarnation.id &&
                   departed.started >= incarnation.started;
        });
}

void upstream_monitor::on_packet_sent(time_point now)
{
    if (!this->unanswered_since)
    {
        this->unanswered_since = now;
    }
}

void upstream_monitor::on_packet_received(time_point now)
{
    if (this->is_silent(now))
    {
        // It may have restarted cold without having sent a status yet.
        this->cold_until_status = true;
    }
    this->unanswered_since.reset();
}

void upstream_monitor::on_sign_of_life(time_point now)
{
    this->sign_of_life_at = now;
    this->absent = false;
}

void upstream_monitor::invalidate_status()
{
    this->status_valid = false;
}

void upstream_monitor::assume_cold()
{
    this->cold_until_status = true;
}

result_code upstream_monitor::refusal(time_point now) const
{
    if (this->has_departed() || (this->newest && this->newest->is_draining))
    {
        return result_code::not_run_upstream_leaving;
    }
    if (!this->newest || !this->status_valid || this->is_status_overdue(now) ||
        this->is_silent(now))
    {
        return result_code::not_run_no_upstream;
    }
    return result_code::done;
}

bool upstream_monitor::is_cold(time_point now) const
{
    return this->cold_until_status || now < this->cold_until;
}

bool upstream_monitor::is_silent(time_point now) const
{
    return this->unanswered_since &&
           now - *this->unanswered_since > silence_limit;
}

bool upstream_monitor::is_lost(time_point now) const
{
    return this->is_silent(now) && this->is_status_overdue(now);
}

bool upstream_monitor::is_status_overdue(time_point now) const
{
    return now - this->status_received_at >
           this->limits.status_interval * overdue_intervals;
}

} // namespace masticslip
