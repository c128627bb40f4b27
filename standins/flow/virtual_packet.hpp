#pragma once
/// Packets of the simulated fleet, encoded as a plain copy of the struct.

#include "masticslip/flow/flow_packet.hpp"

#include <cstring>
#include <optional>

namespace masticslip::standin
{

/// Packet exchanged between simulated callers and upstreams.
struct virtual_packet
{
    flow_endpoints flow;
    bool from_caller = true;
    packet_flags flags;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint16_t payload_size = 0;
    /// Id of the request that the packet belongs to.
    std::uint64_t request = 0;
    /// Index of the packet within its request, and the number of packets.
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    /// Set in an answer to a request that was rejected without being executed.
    bool not_run = false;
};

inline bytes encode(const virtual_packet& packet)
{
    bytes result(sizeof(virtual_packet));
    std::memcpy(result.data(), &packet, sizeof(packet));
    return result;
}

inline virtual_packet decode(byte_view raw)
{
    virtual_packet result;
    std::memcpy(static_cast<void*>(&result), raw.data(), sizeof(result));
    return result;
}

/// Decodes a packet for the cores; the result refers to `raw`.
inline flow_packet view_of(byte_view raw)
{
    const virtual_packet packet = decode(raw);
    flow_packet result;
    result.flow = packet.flow;
    result.origin =
        packet.from_caller ? packet_origin::caller : packet_origin::upstream;
    result.flags = packet.flags;
    result.sequence = packet.sequence;
    result.acknowledged = packet.acknowledged;
    result.payload_size = packet.payload_size;
    result.raw = raw;
    return result;
}

} // namespace masticslip::standin
