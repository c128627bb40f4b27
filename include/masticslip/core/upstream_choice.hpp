#pragma once
/// Selection of the upstream for a new flow.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace masticslip
{

/// Load as reported by the candidate.
struct candidate_load
{
    instance_id id;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 1;
    std::uint32_t flows = 0;
    bool admits = false;
};

/// Returns the least loaded of the first `width` candidates that admit work, or
/// nullopt if none does. Candidates must be in rank order, which also breaks
/// ties. Thread-safe.
std::optional<instance_id> choose_upstream(
    const std::vector<candidate_load>& candidates, std::size_t width);

} // namespace masticslip
