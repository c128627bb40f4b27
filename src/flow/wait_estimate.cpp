#include "masticslip/flow/wait_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace masticslip
{

namespace
{

/// Number of measured companions that is a sufficient sample of a large
/// service. An entry of a large fleet hears each companion less than once a
/// second.
constexpr std::size_t sufficient_sample = 8;
/// Standard deviations by which a count may differ from its mean. With none,
/// openings that could be served are refused where few wait at each of many
/// entries; with two, twice as many are held before they are refused.
constexpr double deviations = 1.0;
/// Time after which counts of a route are halved: a change of its pace counts
/// before the callers give up.
constexpr std::chrono::seconds pace_memory{1};
/// Counts over a shorter time say nothing: places come in lumps, with the
/// reports of companions and with each retry.
constexpr std::chrono::milliseconds min_pace_time{200};
/// Stands for a wait without an end.
constexpr duration longest_wait = std::chrono::hours(1);

bool is_measured(const aged_load& item)
{
    const upstream_load& load = item.load;
    return item.age <= rate_validity && load.request_samples != 0 &&
           load.request_time.count() > 0 &&
           (load.finished_per_second != 0 || load.in_flight != 0);
}

double rate_of(const upstream_load& load)
{
    if (load.finished_per_second == 0)
    {
        return 0;
    }
    const std::chrono::duration<double> request_time = load.request_time;
    return std::max<double>(
        load.finished_per_second, load.concurrency / request_time.count());
}

} // namespace

service_rate estimate_rate(std::span<const aged_load> companions)
{
    service_rate result;
    std::size_t measured = 0;
    double fastest = 0;
    for (const aged_load& item : companions)
    {
        if (!is_measured(item))
        {
            continue;
        }
        ++measured;
        const double rate = rate_of(item.load);
        fastest = std::max(fastest, rate);
        result.per_second += rate;
        result.age = std::max(result.age, item.age);
        result.request_time =
            measured == 1
                ? item.load.request_time
                : std::min(result.request_time, item.load.request_time);
    }
    const std::size_t unknown = companions.size() - measured;
    if (unknown > measured && measured < sufficient_sample)
    {
        return {};
    }
    result.per_second += fastest * static_cast<double>(unknown);
    return result;
}

std::optional<duration> wait_ahead(
    std::size_t openings_ahead,
    std::uint32_t entry_count,
    const service_rate& rate)
{
    if (!rate.is_known() || entry_count == 0)
    {
        return std::nullopt;
    }
    const auto here = static_cast<double>(openings_ahead);
    const double elsewhere =
        std::max(0.0, here - deviations * std::sqrt(here)) * (entry_count - 1);
    const std::chrono::duration<double> result(
        (here + elsewhere) / rate.per_second);
    return std::chrono::duration_cast<duration>(result);
}

bool is_wait_too_long(
    duration wait, const service_rate& rate, const remaining_wait& remaining)
{
    // Subtracted on the right: `wait` may be the longest duration.
    return wait > remaining.until_wait_limit ||
           wait > remaining.until_caller_gives_up - rate.request_time;
}

void pace_meter::forget_old(time_point now)
{
    if (now - this->since > pace_memory)
    {
        this->since += (now - this->since) / 2;
        this->arrivals /= 2;
        this->places /= 2;
    }
}

void pace_meter::on_arrival(time_point now)
{
    this->forget_old(now);
    ++this->arrivals;
}

void pace_meter::on_placed(time_point now)
{
    this->forget_old(now);
    ++this->places;
}

void pace_meter::on_returned()
{
    this->places = std::max(0.0, this->places - 1);
}

route_pace pace_meter::pace(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - this->since;
    if (elapsed.count() <= 0)
    {
        return {};
    }
    // Bounds of the mean of a Poisson distribution, also for a count of zero.
    const auto fewest = [](double count)
    {
        return std::max(0.0, count - deviations * std::sqrt(count));
    };
    const double most_places = this->places +
                               deviations * std::sqrt(this->places) +
                               deviations * deviations;
    route_pace result;
    result.fewest_places_per_second = fewest(this->places) / elapsed.count();
    if (elapsed >= min_pace_time)
    {
        result.places_per_second = most_places / elapsed.count();
        result.arrivals_per_second = fewest(this->arrivals) / elapsed.count();
    }
    return result;
}

namespace
{

/// Wait of an opening, with and without those that arrive later and go first.
struct expected_wait
{
    duration without_later{};
    duration total{};
};

/// Selects refusals in one pass over the order of placement.
class refusal_pass
{
public:
    refusal_pass(
        std::span<const queued_opening> order, const service_pace& pace)
        : order(order), pace(pace)
    {
        for (const auto& [route, item] : pace.routes)
        {
            this->places_per_second += item.fewest_places_per_second;
        }
    }

    std::vector<wait_refusal> run()
    {
        for (std::size_t i = 0; i < this->order.size(); ++i)
        {
            this->kept.push_back(i);
            ++this->kept_of_route[this->order[i].route];
            const expected_wait wait = this->wait_of_last(0);
            if (this->is_too_long(wait))
            {
                this->refuse_for_last(wait);
            }
        }
        return std::move(this->refusals);
    }

private:
    [[nodiscard]] const queued_opening& last() const
    {
        return this->order[this->kept.back()];
    }

    [[nodiscard]] bool is_too_long(const expected_wait& wait) const
    {
        return is_wait_too_long(
            wait.total, this->pace.rate, this->last().remaining);
    }

    /// The wait of the last opening that is kept if `removed` openings of its
    /// route ahead of it were not.
    [[nodiscard]] expected_wait wait_of_last(std::size_t removed) const
    {
        const std::size_t ahead = this->kept.size() - 1 - removed;
        if (ahead == 0)
        {
            return {};
        }
        const auto known = this->pace.routes.find(this->last().route);
        const route_pace route =
            known == this->pace.routes.end() ? route_pace{} : known->second;
        const std::size_t ahead_in_route =
            this->kept_of_route.at(this->last().route) - 1 - removed;
        const std::chrono::duration<double> by_route(
            static_cast<double>(ahead_in_route) / route.places_per_second);
        duration by_service =
            wait_ahead(ahead, this->pace.entry_count, this->pace.rate)
                .value_or(duration::zero());
        if (this->places_per_second > 0)
        {
            // Other entries hold fewer openings than this one.
            const std::chrono::duration<double> here(
                static_cast<double>(ahead) / this->places_per_second);
            by_service = std::min(
                by_service, std::chrono::duration_cast<duration>(here));
        }
        const duration wait = std::max(
            by_service, std::chrono::duration_cast<duration>(by_route));
        return {wait, this->with_later_arrivals(wait, route)};
    }

    [[nodiscard]] duration
    with_later_arrivals(duration wait, const route_pace& route) const
    {
        if (wait <= this->last().until_late)
        {
            return wait;
        }
        const double left =
            1 - route.arrivals_per_second / route.places_per_second;
        return left > 0 && wait / left < longest_wait
                   ? std::chrono::duration_cast<duration>(wait / left)
                   : longest_wait;
    }

    /// True if an opening is refused before another one of its route.
    static bool
    goes_first(const queued_opening& item, const queued_opening& other)
    {
        return std::tie(item.round, item.arrival) >
               std::tie(other.round, other.arrival);
    }

    /// The opening of the last one's route that is refused first, or the end of
    /// `kept`. The last one goes before those of earlier rounds and older ones.
    [[nodiscard]] std::vector<std::size_t>::iterator first_to_refuse()
    {
        auto result = this->kept.end();
        for (auto item = this->kept.begin(); item != this->kept.end(); ++item)
        {
            const queued_opening& candidate = this->order[*item];
            const bool is_first = result == this->kept.end() ||
                                  goes_first(candidate, this->order[*result]);
            if (candidate.route == this->last().route &&
                candidate.is_refusable &&
                !goes_first(this->last(), candidate) && is_first)
            {
                result = item;
            }
        }
        return result;
    }

    void refuse_for_last(const expected_wait& wait)
    {
        const auto own = this->kept.end() - 1;
        auto refused = this->first_to_refuse();
        if (refused != this->kept.end() && refused != own &&
            this->is_too_long(this->wait_of_last(1)))
        {
            refused = this->last().is_refusable ? own : this->kept.end();
        }
        if (refused != this->kept.end())
        {
            this->refusals.push_back(
                {*refused, this->kept.size() - 1, wait.without_later,
                 wait.total > wait.without_later});
            --this->kept_of_route[this->order[*refused].route];
            this->kept.erase(refused);
        }
    }

    std::span<const queued_opening> order;
    const service_pace& pace;
    /// Fewest places of all routes at this entry.
    double places_per_second = 0;
    /// Positions of the openings that stay.
    std::vector<std::size_t> kept;
    std::map<endpoint, std::size_t> kept_of_route;
    std::vector<wait_refusal> refusals;
};

} // namespace

std::vector<wait_refusal>
select_refusals(std::span<const queued_opening> order, const service_pace& pace)
{
    const bool is_known = pace.rate.is_known() && pace.entry_count != 0;
    return is_known ? refusal_pass(order, pace).run()
                    : std::vector<wait_refusal>{};
}

} // namespace masticslip
