#pragma once
/// Series of faults of a soak run: planned restarts that overlap with faults of
/// the store, with signals and with changes of the configuration.

#include "fault_plan.hpp"

namespace masticslip::soak
{

/// Generates overlapping series from one second after the start of the load up
/// to `end`. No fault begins, and no fault of the store lasts, beyond `end`.
/// The faults are not sorted. The same seed and settings give the same faults.
std::vector<planned_fault> draw_series(
    std::uint64_t seed,
    const soak_settings& settings,
    std::chrono::milliseconds end);

} // namespace masticslip::soak
