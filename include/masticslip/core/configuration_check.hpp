#pragma once
/// Check of a configuration document before it is sent.
///
///     for (const auto& item : check_document(text, &in_force))
///         print(item);
///
/// Reports the errors for which the document would be rejected, entries that do
/// not do what they seem to, and the differences from the version in force with
/// their effect on open flows.

#include "masticslip/core/configuration.hpp"
#include "masticslip/core/configuration_finding.hpp"

#include <string_view>
#include <vector>

namespace masticslip
{

/// Entries of a valid document that never take effect or contradict others.
/// Findings have no place. Thread-safe.
std::vector<configuration_finding>
find_contradictions(const configuration& value);

/// Differences between two valid documents, except for generation and change
/// record. Paths refer to `after`; findings have no place. Thread-safe.
std::vector<configuration_finding>
find_changes(const configuration& before, const configuration& after);

/// Checks a document. If it has errors, only these are returned. Changes are
/// reported against `in_force` unless it is null; a version with generation
/// zero and without services counts as none. Thread-safe.
std::vector<configuration_finding>
check_document(std::string_view text, const configuration* in_force);

/// True if the document would be rejected.
bool has_errors(const std::vector<configuration_finding>& findings);

} // namespace masticslip
