#pragma once
/// Order of the waiting openings of one route.
///
/// Load pattern: after an outage, or in a burst, more callers arrive than the
/// upstreams of a service can handle. In order of arrival each one waits for
/// all before it and none is answered within its target latency. The order is
/// therefore by earliest deadline among those that can still meet their target;
/// those that cannot follow, the oldest first.
///
///     sort_waiting(now + request_time, openings);
///
/// Caveat: opening_share.hpp decides between routes and caller addresses.

#include "masticslip/flow/flow_packet.hpp"

#include <vector>

namespace masticslip
{

/// Properties of a waiting opening that determine its order.
struct waiting_opening
{
    flow_endpoints flow;
    time_point first_seen;
    /// Rises with each opening that arrives at the entry; decides between equal
    /// ones, so that no caller address has an advantage.
    std::uint64_t arrival = 0;
    std::chrono::milliseconds target_latency{};
    /// Zero is the highest priority.
    std::uint32_t priority = 0;
    /// Number of its place among those of its caller address in its route; set
    /// by opening_share.
    std::uint64_t round = 0;
};

/// Sorts openings of one route in the order of placement. `answer_time` is
/// when an opening that is placed now is answered: a target before it cannot be
/// met. Thread-safe.
void sort_waiting(
    time_point answer_time, std::vector<waiting_opening>& openings);

} // namespace masticslip
