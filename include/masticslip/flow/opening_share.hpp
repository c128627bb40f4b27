#pragma once
/// Order in which the waiting openings of one service are placed: by shares of
/// its routes, and in turn among the caller addresses of a route.
///
/// Load pattern: a burst exceeds the capacity of a service for longer than its
/// callers wait. By strict priority the lower routes get nothing meanwhile, and
/// in order of arrival a caller that opens fifty flows at once goes before
/// fifty callers that open one. Each route therefore gets at least a tenth of
/// the places, the highest priority that waits gets the rest, and each caller
/// address of a route gets a place before any gets its second.
///
///     share.sort(now + request_time, waiting);
///     for (const waiting_opening& item : waiting)
///     {
///         if (!place(item))
///         {
///             break;
///         }
///         share.on_placed(item.flow);
///     }
///
/// Caveat: shares are of openings, not of the work that they bring: an upload
/// counts like a short request. They hold at each entry on its own; callers
/// behind one address count as one.

#include "masticslip/flow/waiting_order.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace masticslip
{

/// Smallest share of a route that waits, if ten routes wait or fewer.
constexpr double min_route_share = 0.1;

/// Shares of waiting routes with these priorities, in the same order. Their sum
/// is one. Routes of the highest priority divide what the others' smallest
/// shares leave, so that it is served in full while it fits alone. Thread-safe.
std::vector<double> route_shares(std::span<const std::uint32_t> priorities);

/// Not thread-safe. Exists while openings of the service wait.
class opening_share
{
public:
    /// Sorts the service's waiting openings in the order of placement and sets
    /// their rounds. Within a round of a route sort_waiting()
    /// decides.
    void sort(time_point answer_time, std::vector<waiting_opening>& openings);

    /// An opening was placed. Precondition: it was in the last sort().
    void on_placed(const flow_endpoints& flow);

    /// An opening that was placed has been refused and waits again.
    void on_returned(const flow_endpoints& flow);

private:
    /// Shares are kept by start-time fair queueing: a place moves its route
    /// forward by `cost`, and the route that is least far goes next.
    struct route_state
    {
        double next_place = 0;
        /// The inverse of its share.
        double cost = 1;
        /// The round of the last place.
        std::uint64_t round = 0;
        /// Round of the next place of an address, if later than `round`.
        std::unordered_map<std::uint32_t, std::uint64_t> next_rounds;
    };

    void start_sort(const std::map<endpoint, std::uint32_t>& priorities);
    static std::uint64_t
    next_round(const route_state& route, std::uint32_t address);
    static void set_rounds(
        const route_state& route, std::vector<waiting_opening>& openings);

    std::map<endpoint, route_state> routes;
    /// Start of the last place. A route that begins to wait starts here: it has
    /// not saved up places.
    double virtual_time = 0;
};

} // namespace masticslip
