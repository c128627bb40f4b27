#include "masticslip/flow/service_count.hpp"

namespace masticslip
{

namespace
{

constexpr std::size_t max_others = 16;
constexpr std::uint32_t max_difference = 3;

/// True if `count` of `others` have hashes that add up to `digest`.
bool contains_sum(
    std::span<const instance_id> others,
    std::uint32_t count,
    std::uint64_t digest)
{
    if (count == 0)
    {
        return digest == 0;
    }
    for (std::size_t i = 0; i < others.size(); ++i)
    {
        const std::uint64_t rest = digest - hash_pair(others[i].value, 0);
        if (contains_sum(others.subspan(i + 1), count - 1, rest))
        {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_explained(
    const service_count& stated,
    const service_count& base,
    std::span<const instance_id> others)
{
    if (stated.digest == 0 || stated.size < base.size ||
        stated.size - base.size > max_difference || others.size() > max_others)
    {
        return false;
    }
    return contains_sum(
        others, stated.size - base.size, stated.digest - base.digest);
}

} // namespace masticslip
