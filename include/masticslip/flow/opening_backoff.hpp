#pragma once
/// Pause of new flows to an upstream that sends their opening packets back.
///
/// Load pattern: an upstream has crashed and its machine returns what arrives.
/// It holds no request, so it looks like the emptiest of its service, and every
/// entry would send it each new flow first until its status is overdue.
///
///     if (!backoff.is_paused(now)) { pass(packet); backoff.on_passed(now); }
///     ...
///     backoff.on_bounced(now);
///
/// The pause doubles with each bounce in a row; when it ends, one opening is
/// passed on as a probe.

#include "masticslip/core/types.hpp"

namespace masticslip
{

/// Not thread-safe; times must not decrease.
class opening_backoff
{
public:
    /// An opening was passed on to the upstream.
    void on_passed(time_point now);

    /// The upstream sent an opening back.
    void on_bounced(time_point now);

    /// The upstream accepted a flow, or has started anew.
    void clear();

    [[nodiscard]] bool is_paused(time_point now) const
    {
        return now < this->paused_until;
    }

private:
    /// Length of the present pause; zero if the last opening was accepted.
    duration pause{};
    time_point paused_until;
};

} // namespace masticslip
