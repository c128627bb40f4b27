#pragma once
/// Formats events of the layer-4 path as log lines.

#include "masticslip/flow/flow_event.hpp"

#include <string>

namespace masticslip
{

/// Returns `event=... flow=... key=value ...`, without timestamp and level.
/// Thread-safe.
std::string to_log_text(const flow_event& event);

} // namespace masticslip
