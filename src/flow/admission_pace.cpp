#include "masticslip/flow/admission_pace.hpp"

#include <algorithm>
#include <cmath>

namespace masticslip
{

namespace
{

/// One at work and one that waits, so that a slot does not idle while the next
/// opening is on its way. With one per slot callers waited for slots that were
/// free after a loss of all power.
constexpr double first_per_slot = 2;
/// Fills all slots without a queue.
constexpr double least_per_slot = 1;
/// The upstream's own queue holds about four times its slots.
constexpr double most_per_slot = 4;
constexpr double growth_per_round = 1;
/// Answers in a round. Of 3 slow requests in 100, five fall in a round of nine
/// once in 360,000 rounds. Three rounds of an upstream with three slots and
/// 63 ms for a request, the slowest, take 0.6 s.
constexpr std::size_t min_round = 9;
/// A time at work within this factor of the lowest median shows that the
/// upstream does not work more slowly with more requests.
constexpr double steady_factor = 1.5;
/// Share of the target latency that a request may spend at the upstream. The
/// rest is for opening the flow, waiting at the entry and the network.
constexpr int target_divisor = 2;
/// The lowest median is that of one to two periods, so an upstream that stays
/// slower is measured by its present speed after at most 20 s.
constexpr std::chrono::seconds lowest_period{10};

/// A round is late if all but this share of its requests, as a divisor, are.
/// Two slots that are held by slow requests make most answers of a round late,
/// but not nearly all.
constexpr std::size_t in_time_divisor = 4;
/// Late rounds in a row that halve the pace: slow requests on all slots at once
/// make one late.
constexpr int max_late_rounds = 2;
/// Weight of the newest opening in the moving average, as a divisor.
constexpr int opening_divisor = 8;
/// A place becomes free, an entry is told, and sends an opening: about as long
/// again as the opening itself takes.
constexpr int openings_per_place = 2;
/// Standard deviations, of a count that varies like its root, by which requests
/// in flight may exceed what keeps the slots busy on average. With one, flows
/// are refused where two entries choose an upstream at the same moment.
constexpr double deviations = 2;
/// Share of the target latency that all requests in flight may take. The time
/// at work is low by up to a fifth, depending on the order of completions.
constexpr double sustainable_share = 0.8;

duration value_at(std::vector<duration>& values, std::size_t rank)
{
    const auto item = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), item, values.end());
    return *item;
}

} // namespace

std::string_view to_string(pace_change value)
{
    switch (value)
    {
    case pace_change::new_incarnation:
        return "new_incarnation";
    case pace_change::silence:
        return "silence";
    case pace_change::returned_domain:
        return "returned_domain";
    case pace_change::answers_in_time:
        return "answers_in_time";
    case pace_change::answers_late:
        return "answers_late";
    case pace_change::bounce:
        return "bounce";
    case pace_change::start:
        break;
    }
    return "start";
}

void admission_pace::restart(time_point now, pace_change why)
{
    this->per_slot = first_per_slot;
    this->reason = why;
    this->changed_at = now;
    this->at_work.clear();
    this->queued.clear();
    this->lowest = {};
    this->former_lowest = {};
    this->work = {};
    this->late_rounds = 0;
    this->former_work = {};
    this->period_start = now;
}

void admission_pace::on_answered(
    time_point now, const answered_request& request)
{
    if (request.started < this->changed_at)
    {
        // It was sent at the former pace.
        return;
    }
    this->known_slots = request.slots;
    this->at_work.push_back(request.time_at_work());
    this->queued.push_back(request.was_queued() ? request.elapsed : duration{});
    if (this->at_work.size() >= std::max<std::size_t>(min_round, request.slots))
    {
        this->finish_round(now);
    }
}

void admission_pace::finish_round(time_point now)
{
    const duration median = value_at(this->at_work, this->at_work.size() / 2);
    const duration late =
        value_at(this->queued, this->queued.size() / in_time_divisor);
    this->at_work.clear();
    this->queued.clear();
    const duration best = this->lowest_with(now, median);
    this->work = this->former_work.count() == 0
                     ? median
                     : std::min(median, this->former_work);
    this->former_work = median;
    if (this->target.count() != 0 && late > this->target / target_divisor)
    {
        if (++this->late_rounds >= max_late_rounds)
        {
            this->change(now, this->half_of_limit(), pace_change::answers_late);
        }
        return;
    }
    this->late_rounds = 0;
    if (median <= best * steady_factor)
    {
        this->change(
            now, this->per_slot + growth_per_round,
            pace_change::answers_in_time);
    }
}

void admission_pace::on_first_request(duration value)
{
    this->opening_time =
        this->opening_time.count() == 0
            ? value
            : this->opening_time +
                  (value - this->opening_time) / opening_divisor;
}

double admission_pace::sustainable() const
{
    if (this->target.count() == 0 || this->work.count() == 0)
    {
        return most_per_slot;
    }
    return std::clamp(
        sustainable_share * static_cast<double>(this->target.count()) /
            static_cast<double>(this->work.count()),
        least_per_slot, most_per_slot);
}

double admission_pace::half_of_limit() const
{
    return this->limit(this->known_slots) / (2.0 * this->known_slots);
}

double admission_pace::busy_limit(std::uint32_t slots) const
{
    const auto count = static_cast<double>(slots);
    if (this->work.count() == 0)
    {
        return count * most_per_slot;
    }
    const double reopening = static_cast<double>(this->opening_time.count()) *
                             openings_per_place /
                             static_cast<double>(this->work.count());
    return count * (1 + reopening) + deviations * std::sqrt(count);
}

void admission_pace::on_bounced(time_point now, time_point forwarded)
{
    // Several openings may be forwarded before the first one bounces.
    if (forwarded >= this->changed_at)
    {
        this->change(now, this->half_of_limit(), pace_change::bounce);
    }
}

void admission_pace::change(time_point now, double value, pace_change why)
{
    const double next = std::clamp(value, least_per_slot, most_per_slot);
    if (next == this->per_slot)
    {
        return;
    }
    this->per_slot = next;
    this->reason = why;
    this->changed_at = now;
    this->late_rounds = 0;
    this->at_work.clear();
    this->queued.clear();
}

duration admission_pace::lowest_with(time_point now, duration median)
{
    if (now - this->period_start >= lowest_period)
    {
        const bool is_recent = now - this->period_start < 2 * lowest_period;
        this->former_lowest = is_recent ? this->lowest : duration{};
        this->lowest = {};
        this->period_start = now;
    }
    const auto lower = [](duration first, duration second)
    {
        return first.count() == 0 ? second : std::min(first, second);
    };
    this->lowest = lower(this->lowest, median);
    return lower(this->former_lowest, this->lowest);
}

std::uint32_t admission_pace::limit(std::uint32_t slots) const
{
    const double limit = std::min(
        std::min(this->per_slot, this->sustainable()) * slots,
        this->busy_limit(slots));
    return static_cast<std::uint32_t>(std::lround(limit));
}

} // namespace masticslip
