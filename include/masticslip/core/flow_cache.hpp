#pragma once
/// Bounded cache of flow owners at an entry.
///
/// The cache is an optimization: an entry is correct without it. It has two
/// tables of half the capacity: when the newer one is full, it replaces the
/// older one. So memory is fixed, a hit costs at most two look-ups, and nothing
/// is allocated after construction.

#include "masticslip/core/flow_map.hpp"
#include "masticslip/core/types.hpp"

#include <cstddef>

namespace masticslip
{

/// Maps flows to owners. Not thread-safe.
class flow_cache
{
public:
    /// Precondition: capacity >= 2.
    explicit flow_cache(std::size_t capacity);

    /// Returns the owner, or an id of zero if the flow is not cached.
    instance_id find(const flow_key& flow);

    /// Stores the owner of a flow.
    void store(const flow_key& flow, instance_id owner);

    /// Removes a flow.
    void erase(const flow_key& flow);

    /// Number of cached flows, counting a flow in both tables twice.
    [[nodiscard]] std::size_t size() const
    {
        return this->newer.size() + this->older.size();
    }

    /// Bytes held by the tables.
    [[nodiscard]] std::size_t memory() const;

private:
    using table = flow_map<instance_id>;

    std::size_t table_capacity;
    table newer;
    table older;
};

} // namespace masticslip
