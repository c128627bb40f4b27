#pragma once
/// A forwarded packet that owns its payload, so that it outlives its datagram.

#include "masticslip/core/messages.hpp"

namespace masticslip::detail
{

class buffered_packet
{
public:
    explicit buffered_packet(const forward_message& message)
        : body(message), payload(message.payload.begin(), message.payload.end())
    {
    }

    /// Returns the message; its payload is valid while this object is
    /// unchanged.
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
