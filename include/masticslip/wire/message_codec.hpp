#pragma once
/// Encoding and authentication of internal messages.
///
///     message_codec codec(identity, {current_key, former_key});
///     auto datagram = codec.encode(receiver, newest, message);
///     auto received = codec.decode(datagram, reason);
///
/// A datagram is a 16-byte SipHash-2-4 tag, an envelope (protocol version,
/// sender, incarnation, receiver, sequence number, generation) and the
/// message in cereal's portable binary form. Messages that are forged, meant
/// for another receiver, replayed or of a foreign version are refused.

#include "masticslip/core/echo_token.hpp"
#include "masticslip/core/failure_reason.hpp"
#include "masticslip/core/messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace masticslip
{

/// Version of the internal protocol.
constexpr std::uint8_t protocol_version = 1;

/// Largest internal datagram in bytes.
constexpr std::size_t max_datagram = 65'000;

/// Who this process is.
struct wire_identity
{
    instance_id self;
    incarnation life;
};

/// A decoded message; spans refer to the datagram.
struct received_message
{
    message_header header;
    internal_message body;
};

/// Encodes and decodes the datagrams of one process. Not thread-safe.
class message_codec
{
public:
    /// The first key signs; any key verifies. Precondition: one key at least.
    message_codec(wire_identity identity, std::vector<shared_key> keys);
    ~message_codec();

    message_codec(const message_codec&) = delete;
    message_codec& operator=(const message_codec&) = delete;

    /// Returns the datagram, valid until the next call; empty if the message
    /// is too large. Does not allocate for forward and reply messages.
    byte_view encode(
        instance_id receiver,
        generation newest,
        const internal_message& message);

    /// Returns the message, or nullopt with a reason.
    std::optional<received_message>
    decode(byte_view datagram, failure_reason& reason);

private:
    struct state;
    std::unique_ptr<state> impl;
};

} // namespace masticslip
