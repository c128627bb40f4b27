#pragma once
/// Services that the routes of an entry's policies named before.
///
/// A changed route leaves open flows where they are, and a removed one ends
/// them: a flow without a known owner may be held by a former service, however
/// long ago the change was.
///
///     former_services former;
///     former.record(previous_policy, current_policy);
///     for (service_id service : former.of(target))
///         query_companions(service);
///
/// Caveat: an entry knows only the changes since its own start. Companions that
/// hold flows of earlier services report them (companion_report).

#include "masticslip/flow/policy.hpp"

#include <map>
#include <set>

namespace masticslip
{

/// Not thread-safe.
class former_services
{
public:
    /// Maximum numbers of changed routes, and of former services of each, to
    /// bound memory to a few megabytes. Operators change routes a few times an
    /// hour.
    static constexpr std::size_t max_routes = 4'096;
    static constexpr std::size_t max_services = 16;

    /// Records what `current` has removed from or changed in the routes of
    /// `previous`.
    void record(const policy& previous, const policy& current);

    /// True if a route of this address is known to have been removed or to have
    /// named another service.
    [[nodiscard]] bool contains(const endpoint& target) const
    {
        return this->by_target.contains(target);
    }

    /// Services that a route of this address is known to have named.
    [[nodiscard]] const std::set<service_id>& of(const endpoint& target) const;

    /// False if a change of this route may not have been recorded because a
    /// limit was reached.
    [[nodiscard]] bool is_complete_for(const endpoint& target) const;

private:
    std::map<endpoint, std::set<service_id>> by_target;
    /// A change of a route that is not in `by_target` was not recorded.
    bool has_excess_routes = false;
};

} // namespace masticslip
