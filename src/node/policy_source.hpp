#pragma once
/// Where operators' policies come from.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/policy.hpp"
#include "masticslip/store/key_value_store.hpp"

#include <map>
#include <optional>
#include <string>

namespace masticslip
{

/// Translates what operators keep in the store. Thread-safe.
class policy_source
{
public:
    virtual ~policy_source() = default;

    /// All keys of operators begin with this.
    [[nodiscard]] virtual std::string prefix() const = 0;

    /// The configuration that the values by key stand for; nullopt and a
    /// reason if there is none or it is unusable.
    [[nodiscard]] virtual std::optional<configuration> translate(
        const std::map<std::string, std::string>& values,
        failure_reason& reason) const = 0;
};

} // namespace masticslip
