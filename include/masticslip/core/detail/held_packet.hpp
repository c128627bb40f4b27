#pragma once
/// A forwarded packet that outlives the datagram it came in.

#include "masticslip/core/messages.hpp"

namespace masticslip::detail
{

/// Owns a copy of the payload.
class held_packet
{
public:
    explicit held_packet(const forward_message& message)
        : body(message), payload(message.payload.begin(), message.payload.end())
    {
    }

    /// The message; its payload is valid while this object is unchanged.
    [[nodiscard]] forward_message message() const
    {
        forward_message result = this->body;
        result.payload = this->payload;
        return result;
    }

private:
    forward_message body;
    bytes payload;
};

} // namespace masticslip::detail
