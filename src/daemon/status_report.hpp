#pragma once
/// JSON conversions shared by the status reports of both roles.

#include "masticslip/core/detail/config_controller.hpp"
#include "masticslip/core/member_table.hpp"

#include <boost/json/object.hpp>

namespace masticslip
{

boost::json::object member_to_json(const member_record& record);

/// Describes the configuration in force.
boost::json::object config_to_json(const detail::config_controller& config);

/// Returns the milliseconds from `then` to `now`, or -1 if `then` is not set.
std::int64_t milliseconds_since(time_point then, time_point now);

} // namespace masticslip
