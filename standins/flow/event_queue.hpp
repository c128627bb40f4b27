#pragma once
/// Event queue of the discrete-event simulation: actions run in order of their
/// virtual time.

#include "masticslip/core/types.hpp"

#include <functional>
#include <queue>
#include <vector>

namespace masticslip::standin
{

/// Not thread-safe.
class event_queue
{
public:
    using action = std::function<void()>;

    /// Initial virtual time. Not zero, because the cores use a zero time point
    /// for "never".
    static constexpr time_point start()
    {
        return time_point(std::chrono::hours(1));
    }

    [[nodiscard]] time_point now() const
    {
        return this->current;
    }

    /// Schedules an action after a delay; actions due at the same time run in
    /// the order in which they were scheduled.
    void after(duration delay, action work)
    {
        this->items.push(
            {this->current + delay, this->counter++, std::move(work)});
    }

    /// Runs all actions due up to and including `end` and advances the clock
    /// to it.
    void run_until(time_point end)
    {
        while (!this->items.empty() && this->items.top().at <= end)
        {
            item next = this->items.top();
            this->items.pop();
            this->current = next.at;
            next.work();
        }
        this->current = end;
    }

private:
    struct item
    {
        time_point at;
        std::uint64_t order = 0;
        action work;

        bool operator<(const item& other) const
        {
            return at != other.at ? other.at < at : other.order < order;
        }
    };

    std::priority_queue<item> items;
    std::uint64_t counter = 0;
    time_point current = start();
};

} // namespace masticslip::standin
