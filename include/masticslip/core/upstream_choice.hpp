#pragma once
/// Choice of the upstream that gets a new flow.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace masticslip
{

/// A candidate's load as it answered itself.
struct candidate_load
{
    instance_id id;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 1;
    std::uint32_t flows = 0;
    bool admits = false;
};

/// Returns the least loaded candidate that admits work among the first
/// `width` that do, or nullopt. Candidates come in rank order, which also
/// breaks ties. Thread-safe.
std::optional<instance_id> choose_upstream(
    const std::vector<candidate_load>& candidates, std::size_t width);

} // namespace masticslip
