#include "masticslip/core/upstream_choice.hpp"

#include <cstdint>

namespace masticslip
{

namespace
{

/// Flows are long-lived, so their number predicts the load better than the
/// current limit, which is low only while an upstream is cold.
std::uint64_t cost_of(const candidate_load& candidate)
{
    return std::uint64_t{candidate.flows} + candidate.in_flight;
}

} // namespace

std::optional<instance_id> choose_upstream(
    const std::vector<candidate_load>& candidates, std::size_t width)
{
    const candidate_load* best = nullptr;
    std::size_t compared = 0;
    for (const auto& candidate : candidates)
    {
        if (!candidate.admits || compared == width)
        {
            continue;
        }
        ++compared;
        if (best == nullptr || cost_of(candidate) < cost_of(*best))
        {
            best = &candidate;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return best->id;
}

} // namespace masticslip
