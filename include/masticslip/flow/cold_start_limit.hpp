#pragma once
/// Rate limit for new flows to an upstream that has just started.
///
/// Load pattern: an upstream returns while its siblings are busy, and every
/// entry places new flows on the least loaded upstream at once. The limit uses
/// a sliding window slightly longer than one second, so no interval of one
/// second exceeds it.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <deque>

namespace masticslip
{

/// Not thread-safe.
class cold_start_limit
{
public:
    /// Flows that may still be admitted at `now`. A `per_second` below one
    /// allows one.
    [[nodiscard]] std::uint32_t available(time_point now, double per_second);

    /// Counts a flow that was admitted at `now`. Times must not decrease.
    void on_admitted(time_point now);

private:
    void expire(time_point now);

    std::deque<time_point> admitted_at;
};

} // namespace masticslip
