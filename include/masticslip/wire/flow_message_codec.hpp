#pragma once
/// Encoding of the control messages of the layer-4 path.
///
///     auto datagram = encode_flow_message(entry_hello{revision, true});
///     auto message = decode_flow_message(datagram, reason);
///
/// A datagram is a protocol version, the kind of message and its fields in
/// cereal's portable binary form. Messages are not authenticated: they are
/// only taken on addresses that callers cannot reach.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/flow_messages.hpp"

#include <optional>

namespace masticslip
{

/// Version of the control messages of the layer-4 path.
constexpr std::uint8_t flow_protocol_version = 2;

/// Returns the datagram. Thread-safe.
bytes encode_flow_message(const flow_message& message);

/// Returns the message, or nullopt with a reason. Thread-safe.
std::optional<flow_message>
decode_flow_message(byte_view datagram, failure_reason& reason);

} // namespace masticslip
