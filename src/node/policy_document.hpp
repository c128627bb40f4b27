#pragma once
/// Document with which peers exchange policies.
///
/// The first line is a JSON object with the policy's position and its carried
/// withdrawals, the rest is the configuration. The document is compressed:
/// after a change many peers fetch it at once, also over slow links.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/policy.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace masticslip
{

/// Serializes a policy. Precondition: it is known. Thread-safe.
std::string serialize_policy(const policy& value, time_point now);

/// Returns the policy, or nullopt and a reason. Times are relative to `now`.
/// Thread-safe.
std::optional<policy>
parse_policy(std::string_view data, time_point now, failure_reason& reason);

} // namespace masticslip
