#include "masticslip/flow/upstream_stability.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// About the time within which a caller of a lost flow retries, so that the
/// retry of a request goes to another upstream.
constexpr std::chrono::milliseconds first_probation{1'000};
/// Within the idle limit of flows (12 s): callers that keep a flow open see at
/// most one loss for each probation.
constexpr std::chrono::milliseconds longest_probation{8'000};
/// A loss this soon after the last return doubles the probation. Longer than
/// the longest probation, so that a loss during or just after it counts.
constexpr std::chrono::seconds repetition_time{10};
/// Losses are discarded this long after the last return.
constexpr std::chrono::seconds history_retention{20};

} // namespace

std::string_view to_string(upstream_loss value)
{
    switch (value)
    {
    case upstream_loss::restart:
        return "restart";
    case upstream_loss::silence:
        return "silence";
    case upstream_loss::none:
        break;
    }
    return "none";
}

void upstream_stability::on_status(
    time_point now, const upstream_status& status, bool holds_flows)
{
    const bool is_restart =
        this->incarnation && *this->incarnation != status.incarnation;
    if (is_restart && this->is_lost)
    {
        // The silence was this crash.
        this->on_answer(now);
    }
    else if (
        is_restart && !this->is_leaving &&
        (holds_flows || this->has_history(now)))
    {
        this->add_loss(now, upstream_loss::restart);
        this->on_answer(now);
    }
    this->incarnation = status.incarnation;
    this->is_leaving = status.is_draining;
}

void upstream_stability::on_departure()
{
    this->is_leaving = true;
}

void upstream_stability::on_silence(time_point now)
{
    if (!this->is_lost && !this->is_leaving)
    {
        this->add_loss(now, upstream_loss::silence);
    }
}

void upstream_stability::on_answer(time_point now)
{
    if (this->is_lost)
    {
        this->is_lost = false;
        this->returned_at = now;
        this->probation_end = now + this->length;
    }
}

bool upstream_stability::has_history(time_point now) const
{
    return this->length.count() != 0 &&
           now - this->returned_at <= history_retention;
}

void upstream_stability::add_loss(time_point now, upstream_loss loss)
{
    if (!this->has_history(now))
    {
        this->length = first_probation;
    }
    else if (now - this->returned_at <= repetition_time)
    {
        this->length = std::min(this->length * 2, longest_probation);
    }
    this->is_lost = true;
    this->lost_at = now;
    this->last = loss;
    ++this->losses;
}

} // namespace masticslip
