// Copies of the stand-in store's state, and its restoration from one of them.

#include "store_server.hpp"

#include <algorithm>

namespace masticslip::standin
{

void store_server::keep_copy()
{
    const auto now = std::chrono::steady_clock::now();
    dated_copy copy{now, {this->items, {}, this->revision, this->next_lease}};
    for (const auto& lease : this->leases)
    {
        copy.state.leases.insert(lease.first);
    }
    this->copies.push_back(std::move(copy));
    while (this->copies.size() > 1 &&
           this->copies[1].since < now - copy_retention)
    {
        this->copies.pop_front();
    }
}

void store_server::restore_copy(std::chrono::milliseconds age)
{
    const auto now = std::chrono::steady_clock::now();
    stored_state state;
    for (const dated_copy& copy : this->copies)
    {
        if (&copy == &this->copies.front() || copy.since <= now - age)
        {
            state = copy.state;
        }
    }
    this->items = std::move(state.items);
    this->revision = state.revision;
    this->next_lease = state.next_lease;
    this->leases.clear();
    for (const std::uint64_t id : state.leases)
    {
        this->leases[id] = now + this->lease_ttl;
    }
    while (!this->history.empty() &&
           this->history.back().revision > this->revision)
    {
        this->history.pop_back();
    }
    this->oldest_revision = std::min(this->oldest_revision, this->revision + 1);
    this->era = this->era.value_or(0) + 1;
    this->copies.clear();
    this->keep_copy();
    this->changed.cancel();
}

} // namespace masticslip::standin
