#pragma once
/// Interface for reading operators' policies from the store.

#include "masticslip/core/failure_reason.hpp"
#include "masticslip/flow/policy.hpp"
#include "masticslip/store/key_value_store.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// An entry of the store that cannot be used, and why.
struct refused_entry
{
    std::string key;
    failure_reason reason;
};

/// What the operators' entries say.
struct policy_reading
{
    /// Nullopt if there is no usable configuration.
    std::optional<configuration> value;
    /// Entries that were left out.
    std::vector<refused_entry> refused;
    /// Names of members whose value was limited to its bound.
    std::vector<std::string> limited;
};

/// Translates the platform's policy documents. Thread-safe.
class policy_source
{
public:
    virtual ~policy_source() = default;

    /// Prefix of all keys that operators write.
    [[nodiscard]] virtual std::string prefix() const = 0;

    /// Builds the configuration from the values by key. An entry that cannot be
    /// used is left out; the others take effect. `accepted` holds the last
    /// usable values between calls: they replace entries of which exactly one
    /// is required. Clear it if a value was missed since: an older
    /// configuration at a newer position would replace that of peers.
    [[nodiscard]] virtual policy_reading read(
        const std::map<std::string, std::string>& values,
        std::map<std::string, std::string>& accepted) const = 0;
};

} // namespace masticslip
