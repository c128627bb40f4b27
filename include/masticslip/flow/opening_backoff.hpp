#pragma once
/// Backoff of new flows to an upstream that bounces their opening packets.
///
/// Load pattern: an upstream has crashed and its host bounces every packet.
/// Without requests in flight it appears to be the least loaded of its service,
/// and every entry would try it first for each new flow until its status is
/// overdue.
///
///     if (!backoff.is_paused(now))
///     {
///         forward(packet);
///         backoff.on_forwarded(now);
///     }
///     ...
///     backoff.on_bounced(now);
///
/// The pause doubles with each consecutive bounce; when it ends, one opening is
/// forwarded as a probe.

#include "masticslip/core/types.hpp"

namespace masticslip
{

/// Not thread-safe; times must not decrease.
class opening_backoff
{
public:
    /// An opening was forwarded to the upstream.
    void on_forwarded(time_point now);

    /// The upstream bounced an opening.
    void on_bounced(time_point now);

    /// The upstream accepted a flow, or has restarted.
    void clear();

    [[nodiscard]] bool is_paused(time_point now) const
    {
        return now < this->paused_until;
    }

private:
    /// Length of the current pause; zero if the last opening was accepted.
    duration pause{};
    time_point paused_until;
};

} // namespace masticslip
