#pragma once
/// The log line of a decision on the layer-4 path.

#include "masticslip/flow/flow_event.hpp"

#include <string>

namespace masticslip
{

/// Returns `event=... flow=... key=value ...`, without time and level.
/// Thread-safe.
std::string to_log_text(const flow_event& event);

} // namespace masticslip
