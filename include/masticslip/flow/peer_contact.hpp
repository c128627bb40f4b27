#pragma once
/// Detects whether any companion answers an entry.
///
/// Load pattern: an entry is isolated from all companions while callers still
/// reach it. It cannot serve, but the network fabric keeps sending it packets
/// unless it reports that it is not ready.
///
///     contact.on_request_sent(now);
///     contact.on_message_received(now);
///     ready = !contact.is_lost(now, limit);

#include "masticslip/core/types.hpp"

#include <optional>

namespace masticslip
{

/// Not thread-safe; times must not decrease.
class peer_contact
{
public:
    /// A message was sent that a companion answers immediately.
    void on_request_sent(time_point now)
    {
        if (!this->unanswered_since)
        {
            this->unanswered_since = now;
        }
    }

    /// A message was received from any companion.
    void on_message_received(time_point now)
    {
        this->unanswered_since.reset();
        if (now - this->last_received_at > contact_gap)
        {
            this->restored_at = now;
        }
        this->last_received_at = now;
    }

    /// True if no message was received for `limit` after a request.
    [[nodiscard]] bool is_lost(time_point now, duration limit) const
    {
        return this->unanswered_since && now - *this->unanswered_since > limit;
    }

    /// End of the last period without any message. Companions without a message
    /// since then may merely be late.
    [[nodiscard]] time_point contact_restored_at() const
    {
        return this->restored_at;
    }

    /// Time of the last message from any companion; zero: never.
    [[nodiscard]] time_point last_received() const
    {
        return this->last_received_at;
    }

private:
    /// Several report intervals of companions.
    static constexpr std::chrono::milliseconds contact_gap{1'000};

    std::optional<time_point> unanswered_since;
    time_point last_received_at;
    time_point restored_at;
};

} // namespace masticslip
