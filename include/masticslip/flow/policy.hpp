#pragma once
/// The operators' configuration with its withdrawn failure domains, indexed for
/// the packet path.
///
/// A policy is identified by the position of the store at which it was read.
/// policy_succession.hpp decides which of two policies is newer.

#include "masticslip/core/configuration.hpp"
#include "masticslip/flow/policy_mark.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <set>
#include <string>

namespace masticslip
{

/// Withdrawn domains that a restored store does not hold (yet), although they
/// were withdrawn before it was restored.
struct carried_withdrawals
{
    std::set<std::string> domains;
    /// The domains count as withdrawn until then.
    time_point until;

    bool operator==(const carried_withdrawals&) const = default;
};

/// Immutable after construction; concurrent reads are safe.
class policy
{
public:
    /// An empty policy that allows nothing; older than any other.
    policy() = default;

    /// A policy as the store holds it at a position.
    policy(store_position position, configuration value);

    /// A policy whose configuration is of an earlier era, or which carries
    /// withdrawn domains of one. `value` includes the carried domains.
    policy(
        store_position position,
        configuration value,
        std::uint64_t configuration_era,
        carried_withdrawals carried);

    /// The contents of `other` at another position.
    policy(
        const policy& other,
        store_position position,
        std::uint64_t configuration_era);

    /// Digest of the contents without the position; zero if not known.
    [[nodiscard]] std::uint64_t digest() const
    {
        return this->own_mark.digest;
    }

    /// True if `other` is known and has the same contents.
    [[nodiscard]] bool has_same_contents(const policy& other) const
    {
        return other.is_known() && this->digest() == other.digest();
    }

    [[nodiscard]] const store_position& position() const
    {
        return this->own_mark.position;
    }

    [[nodiscard]] const policy_mark& mark() const
    {
        return this->own_mark;
    }

    [[nodiscard]] bool is_known() const
    {
        return this->own_mark.position.revision != 0;
    }

    [[nodiscard]] const configuration& value() const
    {
        return this->contents;
    }

    [[nodiscard]] const carried_withdrawals& carried() const
    {
        return this->carried_domains;
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

    policy_mark own_mark;
    configuration contents;
    carried_withdrawals carried_domains;
    boost::unordered_flat_map<endpoint, std::uint32_t, endpoint_hash> routes;
};

} // namespace masticslip
