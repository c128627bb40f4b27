#include "packet_bridge.hpp"

#include "packet_header.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace masticslip::standin
{

namespace endian = boost::endian;

namespace
{

constexpr std::size_t flags_offset = 6;
constexpr std::size_t destination_offset = 12;
constexpr std::size_t source_port_offset = 16;
constexpr std::size_t destination_port_offset = 18;
constexpr std::size_t source_offset = 20;
constexpr std::size_t sequence_offset = 24;
constexpr std::size_t acknowledged_offset = 28;

/// The payload begins with the request id, the part index, the number of parts
/// and the not-run flag.
constexpr std::size_t request_offset = platform::packet_header_size;
constexpr std::size_t part_offset = request_offset + 8;
constexpr std::size_t parts_offset = part_offset + 2;
constexpr std::size_t not_run_offset = parts_offset + 2;
constexpr std::size_t min_request_size = not_run_offset + 1;

std::uint8_t flag_bits(const packet_flags& flags)
{
    constexpr std::uint8_t reset = 4;
    constexpr std::uint8_t acknowledge = 16;
    constexpr std::uint8_t close = 32;
    constexpr std::uint8_t open = 64;
    constexpr std::uint8_t bounced = 128;
    return static_cast<std::uint8_t>(
        (flags.resets ? reset : 0) | (flags.acknowledges ? acknowledge : 0) |
        (flags.closes ? close : 0) | (flags.opens ? open : 0) |
        (flags.bounced ? bounced : 0));
}

} // namespace

bytes to_datagram(const virtual_packet& packet)
{
    const std::size_t size = platform::packet_header_size + packet.payload_size;
    bytes result(size);
    std::uint8_t* head = result.data();
    const bool forward = packet.from_caller;
    const endpoint& source = forward ? packet.flow.caller : packet.flow.target;
    const endpoint& target = forward ? packet.flow.target : packet.flow.caller;
    endian::store_little_u16(head, packet.payload_size);
    head[flags_offset] = flag_bits(packet.flags);
    endian::store_little_u32(head + destination_offset, target.address);
    endian::store_little_u16(head + destination_port_offset, target.port);
    endian::store_little_u32(head + source_offset, source.address);
    endian::store_little_u16(head + source_port_offset, source.port);
    endian::store_little_u32(head + sequence_offset, packet.sequence);
    endian::store_little_u32(head + acknowledged_offset, packet.acknowledged);
    if (size >= min_request_size)
    {
        endian::store_little_u64(head + request_offset, packet.request);
        endian::store_little_u16(head + part_offset, packet.part);
        endian::store_little_u16(head + parts_offset, packet.parts);
        head[not_run_offset] = packet.not_run ? 1 : 0;
    }
    return result;
}

std::optional<virtual_packet>
from_datagram(byte_view datagram, bool from_caller)
{
    static const platform::packet_header_codec codec;
    failure_reason reason;
    const auto head = codec.decode(
        datagram, from_caller ? packet_origin::caller : packet_origin::upstream,
        reason);
    if (!head)
    {
        return std::nullopt;
    }
    virtual_packet result;
    result.flow = head->flow;
    result.from_caller = head->origin == packet_origin::caller;
    result.flags = head->flags;
    result.sequence = head->sequence;
    result.acknowledged = head->acknowledged;
    result.payload_size = head->payload_size;
    if (datagram.size() >= min_request_size)
    {
        const std::uint8_t* data = datagram.data();
        result.request = endian::load_little_u64(data + request_offset);
        result.part = endian::load_little_u16(data + part_offset);
        result.parts = endian::load_little_u16(data + parts_offset);
        result.not_run = data[not_run_offset] != 0;
    }
    return result;
}

} // namespace masticslip::standin
