#pragma once
/// Entries that were refused for want of room and are told when there is some.
///
/// Load pattern: all upstreams of a service are full and openings wait at many
/// entries. Asking again and again costs more messages than there are openings;
/// a notice for each slot that becomes free goes to one entry, in the order in
/// which they were refused.

#include "masticslip/core/types.hpp"

#include <algorithm>
#include <deque>
#include <optional>

namespace masticslip
{

/// Not thread-safe.
class room_notices
{
public:
    /// An entry was refused; it waits once, however often it is refused.
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

    /// Takes the entry that has waited longest, if any.
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
