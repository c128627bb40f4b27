#pragma once
/// Clock of the processes on the layer-4 path.

#include "masticslip/core/types.hpp"

namespace masticslip
{

/// Returns the monotonic time that is passed to the cores. It advances while
/// the system is suspended, so that state from before a suspension is
/// recognized as outdated. Thread-safe.
time_point node_now();

} // namespace masticslip
