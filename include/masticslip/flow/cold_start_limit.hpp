#pragma once
/// Limit on new flows for an upstream that has just started.
///
/// Load pattern: an upstream returns while its siblings are busy, and every
/// entry places new flows on the emptiest upstream at once. The limit counts
/// over a sliding second, so that no span of that length has more.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <deque>

namespace masticslip
{

/// Not thread-safe.
class cold_start_limit
{
public:
    /// Flows that still fit now. `per_second` below one allows one.
    [[nodiscard]] std::uint32_t room(time_point now, double per_second);

    /// Counts a flow that was passed on at `now`. Times must not decrease.
    void note(time_point now);

private:
    void expire(time_point now);

    std::deque<time_point> passed;
};

} // namespace masticslip
