#include "masticslip/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace masticslip
{

namespace
{

constexpr unsigned mantissa_shift = 11;
constexpr double mantissa_scale = 1.0 / 9007199254740992.0;

} // namespace

double
rendezvous_score(std::uint64_t key_hash, const weighted_instance& candidate)
{
    if (candidate.weight == 0)
    {
        return -std::numeric_limits<double>::infinity();
    }
    const std::uint64_t mixed = hash_pair(key_hash, candidate.id.value);
    const double unit =
        (static_cast<double>(mixed >> mantissa_shift) + 0.5) * mantissa_scale;
    return -static_cast<double>(candidate.weight) / std::log(unit);
}

std::vector<instance_id> rank_candidates(
    std::uint64_t key_hash,
    const std::vector<weighted_instance>& members,
    std::size_t count)
{
    std::vector<std::pair<double, instance_id>> scored;
    scored.reserve(members.size());
    for (const auto& member : members)
    {
        scored.emplace_back(rendezvous_score(key_hash, member), member.id);
    }
    const std::size_t result_size = std::min(count, scored.size());
    const auto middle =
        scored.begin() + static_cast<std::ptrdiff_t>(result_size);
    std::partial_sort(
        scored.begin(), middle, scored.end(),
        [](const auto& a, const auto& b) { return b < a; });
    std::vector<instance_id> result;
    result.reserve(result_size);
    for (auto item = scored.begin(); item != middle; ++item)
    {
        result.push_back(item->second);
    }
    return result;
}

} // namespace masticslip
