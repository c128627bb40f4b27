#pragma once
/// Encoding of control messages on the layer-4 path.
///
///     auto datagram = encode_flow_message(entry_hello{policy.mark(), true});
///     auto message = decode_flow_message(datagram, reason);
///
/// A datagram holds the protocol version, the message type and the message's
/// fields in cereal's portable binary format. Messages are not authenticated,
/// so they must only be accepted on addresses that callers cannot reach.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/flow_messages.hpp"

#include <optional>

namespace masticslip
{

/// Version of the control protocol on the layer-4 path.
constexpr std::uint8_t flow_protocol_version = 7;

/// Returns the encoded datagram. Thread-safe.
bytes encode_flow_message(const flow_message& message);

/// Returns the message, or nullopt and a reason. Thread-safe.
std::optional<flow_message>
decode_flow_message(byte_view datagram, failure_reason& reason);

} // namespace masticslip
