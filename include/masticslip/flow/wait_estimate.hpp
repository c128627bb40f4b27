#pragma once
/// How long an opening would wait for capacity, and whether its caller waits
/// that long.
///
/// Load pattern: a service receives more openings than it can serve, for
/// longer than its callers wait. Each opening that is held until its limit
/// keeps its caller from an alternative, and is then refused all the same. An
/// opening whose turn would come too late is therefore refused at once.
///
///     const service_rate rate = estimate_rate(loads);
///     for (const wait_refusal& refusal :
///          select_refusals(order, {rate, entry_count, route_paces}))
///     {
///         refuse(order[refusal.position]);
///     }
///
/// Caveat: an entry knows only its own openings and assumes that other entries
/// hold about as many. With few openings this says little, so fewer are assumed
/// at the others (wait_ahead()).

#include "masticslip/core/types.hpp"
#include "masticslip/flow/flow_messages.hpp"

#include <chrono>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace masticslip
{

/// Newest load of one usable companion, and its age.
struct aged_load
{
    upstream_load load;
    duration age{};
};

/// Requests that the upstreams of a service finish.
struct service_rate
{
    /// Zero: not known.
    double per_second = 0;
    /// Age of the oldest load that was used.
    duration age{};
    /// Shortest of the companions' median times of a request: the opening may
    /// be placed at any of them.
    std::chrono::microseconds request_time{};

    [[nodiscard]] bool is_known() const
    {
        return this->per_second > 0;
    }
};

/// Time for which an opening can still wait.
struct remaining_wait
{
    /// Until it is refused for having waited too long.
    duration until_wait_limit{};
    /// Until its caller gives up.
    duration until_caller_gives_up{};
};

/// Loads that are older are not used.
constexpr std::chrono::seconds rate_validity{1};

/// Estimates the rate from the loads of a service's usable companions. Each
/// counts with the larger of its measured rate and of what its slots can
/// finish: the rate of the last second is too low at the start of a burst.
/// A companion with requests in flight that finished none counts as zero. Those
/// without a measurement or with an old load count like the fastest; the rate
/// is not known if these are more than half of a small service. Thread-safe.
service_rate estimate_rate(std::span<const aged_load> companions);

/// Wait of an opening behind `openings_ahead` others of its service at this
/// entry, while `entry_count` entries share the service. Nullopt if the rate or
/// the number of entries is not known. Thread-safe.
std::optional<duration> wait_ahead(
    std::size_t openings_ahead,
    std::uint32_t entry_count,
    const service_rate& rate);

/// True if an opening with this wait ahead would not be placed in time, or not
/// be answered before its caller gives up. Thread-safe.
bool is_wait_too_long(
    duration wait, const service_rate& rate, const remaining_wait& remaining);

/// Places and arrivals of a route at this entry, as far as they are certain.
struct route_pace
{
    /// Most places per second that agree with those counted.
    double places_per_second = std::numeric_limits<double>::infinity();
    /// Fewest places per second that agree with those counted.
    double fewest_places_per_second = 0;
    /// Fewest arrivals per second that agree with those counted.
    double arrivals_per_second = 0;
};

/// Counts places and arrivals of a route while openings of it wait. Not
/// thread-safe; times must not decrease.
class pace_meter
{
public:
    /// The route begins to wait.
    explicit pace_meter(time_point now) : since(now)
    {
    }

    void on_arrival(time_point now);
    void on_placed(time_point now);
    /// An opening that was placed has been refused and waits again.
    void on_returned();

    [[nodiscard]] route_pace pace(time_point now) const;

private:
    void forget_old(time_point now);

    time_point since;
    double arrivals = 0;
    double places = 0;
};

/// What determines the waits at one entry and service.
struct service_pace
{
    service_rate rate;
    /// Number of entries that share the service; zero: not known.
    std::uint32_t entry_count = 0;
    /// Paces of the routes that wait.
    std::map<endpoint, route_pace> routes;
};

/// An opening that waits.
struct queued_opening
{
    endpoint route;
    remaining_wait remaining;
    /// Until newer openings of its route go first (see waiting_order.hpp).
    duration until_late{};
    /// Number of its place among those of its caller address (see
    /// opening_share.hpp).
    std::uint64_t round = 0;
    /// Rises with each opening that arrives at the entry.
    std::uint64_t arrival = 0;
    /// False if the flow may have been opened: a reset could end it.
    bool is_refusable = false;
};

/// An opening that is refused.
struct wait_refusal
{
    /// Position in the order of placement.
    std::size_t position = 0;
    /// Number of openings ahead of the last one of its route that still counts,
    /// and its wait without later arrivals: the reason for the refusal.
    std::size_t openings_ahead = 0;
    duration wait{};
    /// Openings that arrive later would also have gone first.
    bool is_overtaken = false;
};

/// Selects the openings of one service that are refused, of those in `order`,
/// the order of placement. The wait of an opening is that of all ahead of it at
/// the service's rate, or at this entry's pace if that is faster; or of those
/// of its route at the route's own pace, if that is longer. Where one would
/// wait too long, the newest of its route's last round is refused instead if
/// that makes room for it: the newest has not been held yet. Thread-safe.
std::vector<wait_refusal> select_refusals(
    std::span<const queued_opening> order, const service_pace& pace);

} // namespace masticslip
