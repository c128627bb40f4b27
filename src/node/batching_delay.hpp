#pragma once
/// Delay between a change in the store and the next call that reads changes.
///
/// Load pattern: all companions register within a few hundred milliseconds
/// after a start, or after an outage of the store. Nothing is served until they
/// are known, so the first changes are read soon; the delay then doubles, since
/// each call has its price and a rolling restart goes on for long.
///
///     batching_delay delay(1s);
///     pause(delay.next(now));    // after each change
///
/// Caveat: changes that are further apart than twice the longest delay are each
/// read as the first one.

#include "masticslip/core/types.hpp"

#include <algorithm>
#include <chrono>

namespace masticslip
{

/// Not thread-safe; times must not decrease.
class batching_delay
{
public:
    /// Below the 200 ms after which callers repeat the first packet of a flow.
    static constexpr std::chrono::milliseconds shortest{50};

    /// Zero: no delay.
    explicit batching_delay(std::chrono::milliseconds longest)
        : longest(longest)
    {
    }

    /// Returns the delay after a change that was read now.
    [[nodiscard]] std::chrono::milliseconds next(time_point now)
    {
        const bool is_first =
            !this->has_changes || now - this->last_change > this->longest * 2;
        this->has_changes = true;
        this->last_change = now;
        this->delay =
            std::min(this->longest, is_first ? shortest : this->delay * 2);
        return this->delay;
    }

private:
    std::chrono::milliseconds longest;
    std::chrono::milliseconds delay{};
    bool has_changes = false;
    time_point last_change;
};

} // namespace masticslip
