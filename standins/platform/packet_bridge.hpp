#pragma once
/// Converts packets of the simulated callers and upstreams to and from the
/// platform's wire format, so that they can communicate with real processes.

#include "flow/virtual_packet.hpp"

#include <optional>

namespace masticslip::standin
{

/// Encodes a packet in the platform's wire format. Thread-safe.
bytes to_datagram(const virtual_packet& packet);

/// Decodes a packet; nullopt if it is malformed. `from_caller` says whether a
/// caller or an upstream sent it. Thread-safe.
std::optional<virtual_packet>
from_datagram(byte_view datagram, bool from_caller);

} // namespace masticslip::standin
