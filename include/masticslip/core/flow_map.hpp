#pragma once
/// Compact hash map keyed by flow.

#include "masticslip/core/types.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

namespace masticslip
{

/// Open-addressing map; references are invalidated by insertion.
template <class Value>
using flow_map =
    boost::unordered_flat_map<flow_key, Value, std::hash<flow_key>>;

} // namespace masticslip
