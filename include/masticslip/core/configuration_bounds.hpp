#pragma once
/// Largest values of the numbers in a configuration, for all of its readers: a
/// document that one part of the system accepts must not be refused by another.

#include <chrono>
#include <cstdint>
#include <limits>

namespace masticslip
{

/// The operators' version of the configuration.
inline constexpr std::uint64_t max_generation =
    std::numeric_limits<std::int64_t>::max();
inline constexpr std::uint64_t max_flows_limit = 1'000'000;
inline constexpr std::uint64_t max_cold_rate = 1'000'000;
/// A day. Times are added to time points of microseconds.
inline constexpr std::chrono::milliseconds max_time_limit{86'400'000};
inline constexpr std::uint64_t max_priority = 1'000;

} // namespace masticslip
