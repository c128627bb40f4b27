#pragma once
/// Interface through which the core sends internal messages.

#include "masticslip/core/messages.hpp"

namespace masticslip
{

/// Sends internal messages. Called on the thread that drives the core.
class internal_output
{
public:
    virtual ~internal_output() = default;

    /// Sends a message; delivery is not guaranteed. The message is valid only
    /// during the call.
    virtual void send(instance_id to, const internal_message& message) = 0;
};

} // namespace masticslip
