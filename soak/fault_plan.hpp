#pragma once
/// Random schedule of the faults of a soak run, determined by its seed.
/// Faults may overlap, repeat and come in series.

#include "soak_world.hpp"

#include <string>
#include <vector>

namespace masticslip::soak
{

/// A fault and its time, counted from the start of the load.
struct planned_fault
{
    std::chrono::milliseconds at{};
    std::string name;
    std::function<void(soak_world&)> apply;
};

/// Generates faults from one second after the start of the load up to `end`, in
/// order of time, for a world of the given size: single faults, one per `gap`
/// on average, restorations of the store, and series (fault_series.hpp). With
/// an even seed the single faults spare the machines of upstreams, so that
/// their flows have to survive everything else. The same seed and settings give
/// the same schedule.
std::vector<planned_fault> draw_faults(
    std::uint64_t seed,
    const soak_settings& settings,
    std::chrono::milliseconds end,
    std::chrono::milliseconds gap);

} // namespace masticslip::soak
