#pragma once
/// Interface for reading operators' policies from the store.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/policy.hpp"
#include "masticslip/store/key_value_store.hpp"

#include <map>
#include <optional>
#include <string>

namespace masticslip
{

/// Translates the platform's policy documents. Thread-safe.
class policy_source
{
public:
    virtual ~policy_source() = default;

    /// Prefix of all keys that operators write.
    [[nodiscard]] virtual std::string prefix() const = 0;

    /// Builds the configuration from the values by key. Returns nullopt and a
    /// reason if there is none or it is invalid.
    [[nodiscard]] virtual std::optional<configuration> translate(
        const std::map<std::string, std::string>& values,
        failure_reason& reason) const = 0;
};

} // namespace masticslip
