#pragma once
/// Packets of layer-4 flows, the input of the flow cores.
///
/// The payload is opaque: only the header is decoded, by a codec outside the
/// core, and `raw` is forwarded unchanged.

#include "masticslip/core/messages.hpp"
#include "masticslip/core/types.hpp"

#include <cstdint>

namespace masticslip
{

/// The two endpoints of a flow: the caller and the address that it called.
struct flow_endpoints
{
    endpoint caller;
    endpoint target;

    auto operator<=>(const flow_endpoints&) const = default;
};

/// Returns a well-distributed hash. Thread-safe.
std::uint64_t hash_flow_endpoints(const flow_endpoints& flow);

/// Formats as `caller>target`, which identifies a flow in logs.
std::string to_string(const flow_endpoints& flow);

/// Flags of one packet.
struct packet_flags
{
    bool opens = false;        ///< First packet of an endpoint (SYN).
    bool acknowledges = false; ///< The field `acknowledged` is valid (ACK).
    bool closes = false;       ///< The sender has no more data (FIN).
    bool resets = false;       ///< The sender aborts the flow (RST).
    bool bounced = false;      ///< Sent back by an upstream that does not hold
                               ///< the flow or cannot accept it.
};

/// Sender of a packet.
enum class packet_origin : std::uint8_t
{
    caller,
    upstream
};

/// One decoded packet; `raw` refers to the receive buffer and is valid only
/// during the call.
struct flow_packet
{
    flow_endpoints flow;
    packet_origin origin = packet_origin::caller;
    packet_flags flags;
    std::uint32_t sequence = 0;
    /// In an opening packet: the number of copies that were sent before it.
    std::uint32_t acknowledged = 0;
    std::uint16_t payload_size = 0;
    byte_view raw;

    /// True for the opening packet of a caller.
    [[nodiscard]] bool is_opening() const
    {
        return this->flags.opens && !this->flags.acknowledges;
    }
};

} // namespace masticslip

template <>
struct std::hash<masticslip::flow_endpoints>
{
    using is_avalanching = void;
    std::size_t operator()(const masticslip::flow_endpoints& flow) const
    {
        return masticslip::hash_flow_endpoints(flow);
    }
};
