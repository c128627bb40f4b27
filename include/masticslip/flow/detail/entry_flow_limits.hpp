#pragma once
/// Limits that several parts of entry_flow_core share.

#include "masticslip/core/types.hpp"

#include <algorithm>
#include <vector>

namespace masticslip::detail
{

/// Companions among which a flow is placed, and that are asked at once in a
/// look-up.
constexpr std::size_t look_up_width = 64;

inline bool contains(const std::vector<instance_id>& ids, instance_id id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace masticslip::detail
