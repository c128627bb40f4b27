#include "masticslip/core/flow_cache.hpp"

#include <algorithm>

namespace masticslip
{

flow_cache::flow_cache(std::size_t capacity)
    : table_capacity(std::max<std::size_t>(capacity / 2, 1))
{
    this->newer.reserve(this->table_capacity);
    this->older.reserve(this->table_capacity);
}

instance_id flow_cache::find(const flow_key& flow)
{
    const auto in_newer = this->newer.find(flow);
    if (in_newer != this->newer.end())
    {
        return in_newer->second;
    }
    const auto in_older = this->older.find(flow);
    if (in_older == this->older.end())
    {
        return {};
    }
    const instance_id owner = in_older->second;
    this->store(flow, owner);
    return owner;
}

void flow_cache::store(const flow_key& flow, instance_id owner)
{
    const auto known = this->newer.find(flow);
    if (known != this->newer.end())
    {
        known->second = owner;
        return;
    }
    if (this->newer.size() >= this->table_capacity)
    {
        this->older.swap(this->newer);
        this->newer.clear();
    }
    this->newer.emplace(flow, owner);
}

void flow_cache::erase(const flow_key& flow)
{
    this->newer.erase(flow);
    this->older.erase(flow);
}

std::size_t flow_cache::memory() const
{
    // One metadata byte accompanies each slot of boost::unordered_flat_map.
    constexpr std::size_t slot = sizeof(table::value_type) + 1;
    const double load = this->newer.max_load_factor();
    const double slots =
        double(this->newer.max_load() + this->older.max_load()) / load;
    return static_cast<std::size_t>(slots * double(slot));
}

} // namespace masticslip
