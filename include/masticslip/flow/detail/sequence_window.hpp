#pragma once
/// Arithmetic on sequence numbers of flows, modulo 2^32.

#include <cstdint>
#include <cstdlib>

namespace masticslip::detail
{

/// Maximum distance of an acknowledgement from the upstream's first sequence
/// number: the largest window of data in flight.
constexpr std::uint32_t sequence_window = 76'800;

/// Signed distance of two sequence numbers.
inline std::int32_t sequence_distance(std::uint32_t from, std::uint32_t to)
{
    return static_cast<std::int32_t>(to - from);
}

inline bool is_within_window(std::uint32_t first, std::uint32_t second)
{
    const std::int64_t distance = sequence_distance(first, second);
    return std::abs(distance) <= std::int64_t{sequence_window};
}

} // namespace masticslip::detail
