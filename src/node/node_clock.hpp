#pragma once
/// The clock of a process on the layer-4 path.

#include "masticslip/core/types.hpp"

namespace masticslip
{

/// Returns the monotonic time for the cores. It goes on while the machine is
/// suspended, so that what was learnt before a suspension is seen to be old.
/// Thread-safe.
time_point node_now();

} // namespace masticslip
