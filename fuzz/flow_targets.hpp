#pragma once
/// Fuzz targets of the layer-4 path and of the platform's formats.

#include "mutator.hpp"

namespace masticslip::testing
{

/// Control messages of the layer-4 path.
void fuzz_flow_messages(mutator& inputs, std::size_t count);

/// Both cores, fed with well-formed but senseless packets and messages.
void fuzz_flow_cores(mutator& inputs, std::size_t count);

/// Packet heads, statuses, operators' documents, settings, listed members and
/// log lines.
void fuzz_platform(mutator& inputs, std::size_t count);

} // namespace masticslip::testing
