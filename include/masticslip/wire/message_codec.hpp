#pragma once
/// Encoding and authentication of internal messages.
///
///     message_codec codec(identity, {current_key, previous_key});
///     auto datagram = codec.encode(receiver, generation_in_force, message);
///     auto received = codec.decode(datagram, reason);
///
/// A datagram holds a 16-byte SipHash-2-4 tag, an envelope (protocol version,
/// sender, incarnation, receiver, sequence number, generation) and the message
/// in cereal's portable binary format. Messages are rejected if they are
/// forged, addressed to another receiver, replayed or of another version.

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

/// Maximum size of an internal datagram in bytes.
constexpr std::size_t max_datagram = 65'000;

/// Identity of this process as a sender and receiver.
struct wire_identity
{
    instance_id self;
    incarnation incarnation_number;
};

/// A decoded message. Its spans refer to the datagram.
struct received_message
{
    message_header header;
    internal_message body;
};

/// Encodes and decodes the datagrams of one process. Not thread-safe.
class message_codec
{
public:
    /// Signs with the first key and accepts messages signed with any key.
    /// Precondition: `keys` is not empty.
    message_codec(wire_identity identity, std::vector<shared_key> keys);
    ~message_codec();

    message_codec(const message_codec&) = delete;
    message_codec& operator=(const message_codec&) = delete;

    /// Returns the datagram, which is valid until the next call, or an empty
    /// view if the message is too large. `generation_in_force` is the
    /// generation that the sender has in force; zero if none. Does not allocate
    /// for forward and reply messages.
    byte_view encode(
        instance_id receiver,
        generation generation_in_force,
        const internal_message& message);

    /// Returns the message, or nullopt and a reason.
    std::optional<received_message>
    decode(byte_view datagram, failure_reason& reason);

private:
    struct state;
    std::unique_ptr<state> impl;
};

} // namespace masticslip
