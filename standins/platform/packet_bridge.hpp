#pragma once
/// Packets of the virtual callers and upstreams in the platform's layout, so
/// that they can talk to real processes.

#include "flow/virtual_packet.hpp"

#include <optional>

namespace masticslip::standin
{

/// Writes a packet in the platform's layout. Thread-safe.
bytes to_datagram(const virtual_packet& packet);

/// Reads a packet; nullopt if it is none. `from_caller` says who wrote it.
/// Thread-safe.
std::optional<virtual_packet>
from_datagram(byte_view datagram, bool from_caller);

} // namespace masticslip::standin
