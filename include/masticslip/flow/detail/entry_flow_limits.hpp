#pragma once
/// Limits shared by the source files of entry_flow_core.

#include "masticslip/core/types.hpp"

#include <algorithm>
#include <vector>

namespace masticslip::detail
{

/// Number of the highest-ranked companions considered for placement of a flow.
/// After the round for hints, each round of a lookup extends the queried ranks
/// by this number.
constexpr std::size_t lookup_width = 64;

/// An entry knows its companions this long after its first policy and its first
/// list: they register within two seconds of the store's return, and the list
/// of members is read at most a second later.
constexpr std::chrono::seconds discovery_time{3};

/// Retry interval of openings that wait for capacity.
constexpr std::chrono::milliseconds wait_interval{20};

inline bool contains(const std::vector<instance_id>& ids, instance_id id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace masticslip::detail
