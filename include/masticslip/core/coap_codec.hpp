#pragma once
/// Interface through which the core encodes and decodes CoAP messages.

#include "masticslip/core/coap_message.hpp"
#include "masticslip/core/messages.hpp"

#include <optional>

namespace masticslip
{

/// Converts between datagrams and messages. Implementations are thread-safe.
class coap_codec
{
public:
    virtual ~coap_codec() = default;

    /// Returns the message, or nullopt if the datagram is malformed.
    [[nodiscard]] virtual std::optional<coap_message>
    decode(byte_view datagram) const = 0;

    /// Preconditions: options are sorted by number; the token has at most
    /// 8 bytes.
    [[nodiscard]] virtual bytes encode(const coap_message& message) const = 0;
};

} // namespace masticslip
