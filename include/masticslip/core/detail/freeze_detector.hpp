#pragma once
/// Detects that the process was suspended for a while.
///
/// The driver reports each event. A gap between events that exceeds the limit
/// means that the process was suspended. Its state may then be stale until a
/// peer has answered a request sent after the process resumed.

#include "masticslip/core/types.hpp"

namespace masticslip::detail
{

/// Not thread-safe.
class freeze_detector
{
public:
    /// Preconditions: limit is several tick intervals;
    /// stale_timeout > limit.
    freeze_detector(duration limit, duration stale_timeout)
        : limit(limit), stale_timeout(stale_timeout)
    {
    }

    /// Records an event; returns true if it ends a gap above the limit.
    bool observe(time_point now)
    {
        const bool first = this->last == time_point{};
        const bool frozen = !first && now - this->last > this->limit;
        this->last = now;
        if (frozen)
        {
            this->stale_since = now;
            this->stale = true;
        }
        return frozen;
    }

    /// Records a peer's answer to a request that was sent at `sent`.
    void on_answer(time_point sent)
    {
        if (sent >= this->stale_since)
        {
            this->stale = false;
        }
    }

    /// True while this node must not act on its state because it may be stale;
    /// false once stale_timeout has passed.
    [[nodiscard]] bool is_stale(time_point now) const
    {
        return this->stale && now - this->stale_since < this->stale_timeout;
    }

private:
    duration limit;
    duration stale_timeout;
    time_point last;
    time_point stale_since;
    bool stale = false;
};

} // namespace masticslip::detail
