#pragma once
/// Detects that the process was stopped for a while.
///
/// The driver reports each event; without events for longer than the limit
/// the process must have been frozen, and what it knows may be out of date
/// until a peer has answered a question asked after the thaw.

#include "masticslip/core/types.hpp"

namespace masticslip::detail
{

/// Not thread-safe.
class freeze_guard
{
public:
    /// Preconditions: limit is several tick intervals; give_up > limit.
    freeze_guard(duration limit, duration give_up)
        : limit(limit), give_up(give_up)
    {
    }

    /// Notes an event; returns true if a freeze has just been detected.
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

    /// Notes that a peer answered a question that was asked at `asked`.
    void on_answer(time_point asked)
    {
        if (asked >= this->stale_since)
        {
            this->stale = false;
        }
    }

    /// True if this node must not act on what it knows.
    [[nodiscard]] bool must_wait(time_point now) const
    {
        return this->stale && now - this->stale_since < this->give_up;
    }

private:
    duration limit;
    duration give_up;
    time_point last;
    time_point stale_since;
    bool stale = false;
};

} // namespace masticslip::detail
