#pragma once
/// One revision of the operators' configuration with its withdrawn failure
/// domains, indexed for the packet path.
///
/// Every process applies a policy only if its revision is higher than that of
/// the one in force, so that an older change never overwrites a newer one.

#include "masticslip/core/configuration.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>

namespace masticslip
{

/// Immutable after construction; concurrent reads are safe.
class policy
{
public:
    /// An empty policy that allows nothing; older than any other.
    policy() = default;

    /// `revision` is the store's revision of the last change; a higher one is
    /// newer.
    policy(std::uint64_t revision, configuration value);

    /// The contents of `other` at another revision.
    policy(const policy& other, std::uint64_t revision);

    /// Digest of the contents without the revision; zero if not known.
    [[nodiscard]] std::uint64_t digest() const
    {
        return this->contents_digest;
    }

    /// True if `other` is known and has the same contents.
    [[nodiscard]] bool has_same_contents(const policy& other) const
    {
        return other.is_known() && this->digest() == other.digest();
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        return this->revision_number;
    }

    [[nodiscard]] bool is_known() const
    {
        return this->revision_number != 0;
    }

    [[nodiscard]] const configuration& value() const
    {
        return this->contents;
    }

    /// The route of a called address, or null. Valid as long as the policy.
    [[nodiscard]] const route_definition*
    find_route(const endpoint& target) const;

    /// The service with this id, or null. Valid as long as the policy.
    [[nodiscard]] const service_definition* find_service(service_id id) const
    {
        return this->contents.find_service(id);
    }

    /// Flows without packets for this long may be evicted.
    [[nodiscard]] std::chrono::milliseconds idle_limit() const
    {
        return this->contents.flow_idle_limit;
    }

private:
    struct endpoint_hash
    {
        std::size_t operator()(const endpoint& value) const
        {
            return hash_pair(value.packed(), 0);
        }
    };

    std::uint64_t revision_number = 0;
    std::uint64_t contents_digest = 0;
    configuration contents;
    boost::unordered_flat_map<endpoint, std::uint32_t, endpoint_hash> routes;
};

} // namespace masticslip
