#pragma once
/// Tells whether any companion answers an entry.
///
/// Load pattern: an entry is cut off from all companions while callers still
/// reach it. It cannot serve, and the fabric goes on sending it packets unless
/// it says so.
///
///     contact.on_asked(now);
///     contact.on_heard(now);
///     ready = !contact.is_lost(now, limit);

#include "masticslip/core/types.hpp"

#include <optional>

namespace masticslip
{

/// Not thread-safe; times must not decrease.
class peer_contact
{
public:
    /// Something was sent that a companion answers at once.
    void on_asked(time_point now)
    {
        if (!this->unanswered_since)
        {
            this->unanswered_since = now;
        }
    }

    /// Any companion was heard.
    void on_heard(time_point now)
    {
        this->unanswered_since.reset();
        if (now - this->newest > resume_gap)
        {
            this->resumed = now;
        }
        this->newest = now;
    }

    /// True if nothing was heard for `limit` after a question.
    [[nodiscard]] bool is_lost(time_point now, duration limit) const
    {
        return this->unanswered_since && now - *this->unanswered_since > limit;
    }

    /// End of the last time in which nobody was heard. What is not heard since
    /// then may only be late.
    [[nodiscard]] time_point resumed_at() const
    {
        return this->resumed;
    }

    /// Time at which a companion was last heard; zero: never.
    [[nodiscard]] time_point last_heard() const
    {
        return this->newest;
    }

private:
    /// Several intervals at which companions report.
    static constexpr std::chrono::milliseconds resume_gap{1'000};

    std::optional<time_point> unanswered_since;
    time_point newest;
    time_point resumed;
};

} // namespace masticslip
