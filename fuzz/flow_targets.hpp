#pragma once
/// Fuzz targets of the layer-4 path and of the platform's formats.

#include "mutator.hpp"

namespace masticslip::testing
{

/// Decodes mutated control messages of the layer-4 path and random octets.
void fuzz_flow_messages(mutator& inputs, std::size_t count);

/// Feeds both flow cores well-formed packets and messages with random contents
/// in random order.
void fuzz_flow_cores(mutator& inputs, std::size_t count);

/// Decodes mutated packet headers, statuses, operators' documents, settings,
/// member documents and log lines.
void fuzz_platform(mutator& inputs, std::size_t count);

} // namespace masticslip::testing
