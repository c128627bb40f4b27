#pragma once
/// Interface of the codec for packets between callers and upstreams.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/flow_packet.hpp"

#include <optional>

namespace masticslip
{

/// Implementations define the layout of the packet header. Thread-safe.
class packet_codec
{
public:
    virtual ~packet_codec() = default;

    /// Decodes the packet header; the result refers to the datagram. Returns
    /// nullopt and a reason if the datagram is not a valid packet.
    [[nodiscard]] virtual std::optional<flow_packet> decode(
        byte_view datagram,
        packet_origin origin,
        failure_reason& reason) const = 0;

    /// Returns the packet as its sender encoded it: clears the fields that may
    /// be set in transit, such as the bounced flag. Precondition: `packet` can
    /// be decoded.
    [[nodiscard]] virtual bytes
    without_transit_fields(byte_view packet) const = 0;

    /// Encodes a reset packet for the caller of a flow.
    [[nodiscard]] virtual bytes
    encode_reset(const flow_endpoints& flow, std::uint32_t sequence) const = 0;
};

} // namespace masticslip
