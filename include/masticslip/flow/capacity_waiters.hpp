#pragma once
/// FIFO queue of entries that were refused for lack of capacity.
///
/// Load pattern: all upstreams of a service are full and openings wait at many
/// entries. Polling costs more messages than there are openings; instead one
/// entry is notified for each slot that becomes free, in the order of refusal.

#include "masticslip/core/types.hpp"

#include <algorithm>
#include <deque>
#include <optional>

namespace masticslip
{

/// Not thread-safe.
class capacity_waiters
{
public:
    /// Adds a refused entry, unless it is already queued.
    void add(instance_id entry)
    {
        const bool is_known =
            std::find(this->waiting.begin(), this->waiting.end(), entry) !=
            this->waiting.end();
        if (!is_known)
        {
            this->waiting.push_back(entry);
        }
    }

    /// Removes and returns the entry that has waited longest, if any.
    std::optional<instance_id> take()
    {
        if (this->waiting.empty())
        {
            return std::nullopt;
        }
        const instance_id result = this->waiting.front();
        this->waiting.pop_front();
        return result;
    }

    [[nodiscard]] bool empty() const
    {
        return this->waiting.empty();
    }

private:
    std::deque<instance_id> waiting;
};

} // namespace masticslip
