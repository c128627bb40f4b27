#pragma once
/// What an entry's decision logic sends.

#include "masticslip/core/types.hpp"
#include "masticslip/flow/flow_messages.hpp"

namespace masticslip
{

/// Output of the core. Called on the thread that drives the core.
class entry_flow_output
{
public:
    virtual ~entry_flow_output() = default;

    /// Forwards a caller's packet to a companion unchanged.
    virtual void send_packet(const endpoint& companion, byte_view packet) = 0;
    /// Sends a reset to the caller; `sequence` is the caller's acknowledgement.
    virtual void
    reset_caller(const flow_endpoints& flow, std::uint32_t sequence) = 0;
    virtual void send(instance_id to, const flow_message& message) = 0;
    /// Requests the policy of a companion.
    virtual void fetch_policy(instance_id from) = 0;
};

} // namespace masticslip
