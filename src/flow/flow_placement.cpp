#include "masticslip/flow/flow_placement.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// Share of a request that an open flow is expected to have in flight: flows
/// that stay open send a request about each second that takes some 30 ms.
constexpr double in_flight_per_open_flow = 0.05;
/// Added for a candidate that did not answer lately: it is the last resort.
constexpr double suspect_cost = 100.0;
/// A cold upstream works more slowly than a warm one.
constexpr double cold_factor = 2.0;
/// Ties are broken within this share of a slot.
constexpr double tie_width = 0.02;
constexpr std::uint64_t tie_steps = 1'024;

} // namespace

double placement_cost(
    const placement_candidate& candidate, const placement_request& request)
{
    const upstream_load& load = candidate.load;
    const double work = load.in_flight + candidate.own_placements + 1.0 +
                        in_flight_per_open_flow * load.open_flows;
    const double slots = std::max(1U, load.concurrency);
    double cost = work / slots * (load.is_cold ? cold_factor : 1.0);
    cost += candidate.is_remote ? request.remote_cost : 0;
    cost += candidate.is_suspect ? suspect_cost : 0;
    const std::uint64_t mixed =
        hash_pair(request.flow_hash, candidate.id.value);
    return cost + tie_width * static_cast<double>(mixed % tie_steps) /
                      static_cast<double>(tie_steps);
}

std::optional<std::size_t> choose_candidate(
    std::span<const placement_candidate> candidates,
    const placement_request& request)
{
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& candidate = candidates[i];
        const bool is_full =
            candidate.load.is_cold &&
            candidate.load.cold_room <= candidate.own_placements;
        if (candidate.load.refusal != result_code::done || is_full)
        {
            continue;
        }
        const double cost = placement_cost(candidate, request);
        if (!best || cost < best_cost)
        {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace masticslip
