#pragma once
/// Faults of a soak run, drawn from its seed: series, overlaps, repeats.

#include "soak_world.hpp"

#include <random>
#include <string>
#include <vector>

namespace masticslip::soak
{

/// One fault at a time after the start of the load.
struct planned_fault
{
    std::chrono::milliseconds at{};
    std::string name;
    std::function<void(soak_world&)> apply;
};

/// Draws faults between the first second and `end`, one in `gap` on average,
/// for a world with this many entries, processes and hosts. The same seed
/// gives the same plan.
std::vector<planned_fault> draw_faults(
    std::uint64_t seed,
    const soak_settings& settings,
    std::chrono::milliseconds end,
    std::chrono::milliseconds gap);

} // namespace masticslip::soak
