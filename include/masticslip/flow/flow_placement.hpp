#pragma once
/// Choice of the companion that gets a new flow.
///
/// Load pattern: entries see loads that are up to one report old, and many
/// flows open between two reports. Each entry therefore adds its own recent
/// placements to the reported load, and ties are broken by the flow's hash, so
/// that entries with the same view do not choose the same upstream.

#include "masticslip/core/types.hpp"
#include "masticslip/flow/flow_messages.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace masticslip
{

/// One companion that may take a flow.
struct placement_candidate
{
    instance_id id;
    upstream_load load;
    /// Flows placed there by this entry that the load does not yet show.
    std::uint32_t own_placements = 0;
    /// True if it is in another failure domain than the entry.
    bool is_remote = false;
    /// True if it did not answer lately.
    bool is_suspect = false;
};

/// What is known of a flow that is to be placed.
struct placement_request
{
    std::uint64_t flow_hash = 0;
    /// Slots' worth of load at which a remote candidate is preferred to a
    /// near one; grows with the bytes that a flow of its route carries.
    double remote_cost = 0;
};

/// Expected load of a candidate after it took one more flow, in requests for
/// each slot; lower is better. Thread-safe.
double placement_cost(
    const placement_candidate& candidate, const placement_request& request);

/// Index of the best candidate that accepts new flows, or nullopt.
/// Thread-safe.
std::optional<std::size_t> choose_candidate(
    std::span<const placement_candidate> candidates,
    const placement_request& request);

} // namespace masticslip
