#pragma once
/// Summary of a policy, with which peers find out who has the newer one.

#include "masticslip/core/types.hpp"
#include "masticslip/store/store_position.hpp"

namespace masticslip
{

/// See policy_succession.hpp for how marks are compared.
struct policy_mark
{
    /// Position of the store at which the policy was read.
    store_position position;
    /// Era in which the store held the configuration. Older than that of
    /// `position` while a restored store holds an older version.
    std::uint64_t configuration_era = 0;
    /// The operators' version of the configuration.
    generation version = 0;
    /// Digest of the contents: the same contents may have several positions.
    std::uint64_t digest = 0;
    /// Digest of the withdrawn domains that are carried over from an earlier
    /// era; zero if there are none.
    std::uint64_t carried_digest = 0;

    bool operator==(const policy_mark&) const = default;
};

} // namespace masticslip
