#pragma once
/// Codec of the packets that callers and upstreams exchange.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/flow_packet.hpp"

#include <optional>

namespace masticslip
{

/// Implementations know the head's layout. Thread-safe.
class packet_codec
{
public:
    virtual ~packet_codec() = default;

    /// Decodes the head; the result refers to the datagram. Nullopt and a
    /// reason if it is no packet.
    [[nodiscard]] virtual std::optional<flow_packet> decode(
        byte_view datagram,
        packet_origin origin,
        failure_reason& reason) const = 0;

    /// The packet as its sender wrote it: without marks that were set on its
    /// way. Precondition: `packet` decodes.
    [[nodiscard]] virtual bytes as_written(byte_view packet) const = 0;

    /// A reset for the caller of a flow.
    [[nodiscard]] virtual bytes
    encode_reset(const flow_ends& flow, std::uint32_t sequence) const = 0;
};

} // namespace masticslip
