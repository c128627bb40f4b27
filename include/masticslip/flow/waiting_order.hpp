#pragma once
/// Order in which openings that wait for room are placed.
///
/// Load pattern: after an outage, or in a burst, more callers come than the
/// upstreams of a service bear. Served in order of arrival, each one waits for
/// all before it and none is answered within its target. The order is by
/// priority, then those that can still meet their target, the one whose target
/// ends first in front; those that are late already follow, the oldest first.

#include "masticslip/flow/flow_packet.hpp"

#include <vector>

namespace masticslip
{

/// An opening that waits, as far as the order needs it.
struct waiting_opening
{
    flow_ends flow;
    service_id service;
    time_point first_seen;
    std::chrono::milliseconds target_latency{};
    /// Lower values go first.
    std::uint32_t priority = 0;
};

/// Sorts in the order of placement. Thread-safe.
void sort_waiting(time_point now, std::vector<waiting_opening>& openings);

} // namespace masticslip
