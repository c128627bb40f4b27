#pragma once
/// JSON document with which a companion is registered in the store.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/companion_directory.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace masticslip
{

/// Serializes a record; parsing the result gives an equal record. Thread-safe.
std::string serialize_member(const companion_record& record);

/// Returns the record, or nullopt and a reason. Thread-safe.
std::optional<companion_record>
parse_member(std::string_view text, failure_reason& reason);

} // namespace masticslip
