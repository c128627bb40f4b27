#include "masticslip/core/flow_cache.hpp"

#include <algorithm>

namespace masticslip
{

flow_cache::flow_cache(std::size_t capacity)
    : table_capacity(std::max<std::size_t>(capacity / 2, 1))
{
    this->young.reserve(this->table_capacity);
    this->old.reserve(this->table_capacity);
}

instance_id flow_cache::find(const flow_key& flow)
{
    const auto in_young = this->young.find(flow);
    if (in_young != this->young.end())
    {
        return in_young->second;
    }
    const auto in_old = this->old.find(flow);
    if (in_old == this->old.end())
    {
        return {};
    }
    const instance_id owner = in_old->second;
    this->store(flow, owner);
    return owner;
}

void flow_cache::store(const flow_key& flow, instance_id owner)
{
    const auto known = this->young.find(flow);
    if (known != this->young.end())
    {
        known->second = owner;
        return;
    }
    if (this->young.size() >= this->table_capacity)
    {
        this->old.swap(this->young);
        this->young.clear();
    }
    this->young.emplace(flow, owner);
}

void flow_cache::erase(const flow_key& flow)
{
    this->young.erase(flow);
    this->old.erase(flow);
}

std::size_t flow_cache::memory() const
{
    // One metadata byte accompanies each slot of boost::unordered_flat_map.
    constexpr std::size_t slot = sizeof(table::value_type) + 1;
    const double load = this->young.max_load_factor();
    const double slots =
        double(this->young.max_load() + this->old.max_load()) / load;
    return static_cast<std::size_t>(slots * double(slot));
}

} // namespace masticslip
