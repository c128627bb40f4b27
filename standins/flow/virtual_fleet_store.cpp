// Metadata store of the simulated fleet: what it holds, how entries read it,
// its restoration from a copy, and the exchange of policies between peers.

#include "virtual_processes.hpp"

namespace masticslip::standin
{

namespace
{

constexpr std::chrono::milliseconds store_delay{5};
constexpr std::chrono::milliseconds fetch_delay{3};
/// Time for which a store is away while it is restored.
constexpr std::chrono::milliseconds restore_time{300};
/// Companions register again within this time after a restoration.
constexpr int registration_spread_ms = 1'000;
/// A companion that the store does not serve tries again after this.
constexpr std::chrono::milliseconds registration_retry{500};
/// Time after which a new registration counts as continuous.
constexpr std::chrono::seconds registration_recovery{3};

} // namespace

void virtual_flow_fleet::publish_policy()
{
    configuration value;
    for (const auto& service : this->shape.services)
    {
        service_definition definition;
        definition.name = service.name;
        definition.protocol = service_protocol::datagram;
        definition.cold_flows_per_second = this->shape.cold_flows_per_second;
        value.services.push_back(definition);
        route_definition route;
        route.name = service.name;
        route.address = service.address;
        const auto moved = this->moved_routes.find(service.address);
        route.service =
            moved == this->moved_routes.end() ? service.name : moved->second;
        route.kind = service.kind;
        value.routes.push_back(route);
    }
    value.withdrawn_domains.assign(
        this->withdrawn.begin(), this->withdrawn.end());
    value.number = ++this->version;
    this->write_document(std::move(value));
}

void virtual_flow_fleet::write_document(configuration value)
{
    ++this->position.revision;
    this->current_policy =
        std::make_shared<policy>(this->position, std::move(value));
    this->keep_copy();
    if (this->queue.now() < this->watches_silent_until)
    {
        return;
    }
    for (std::size_t i = 0; i < this->entries.size(); ++i)
    {
        this->queue.after(store_delay, [this, i] { this->sync_store(i); });
    }
}

void virtual_flow_fleet::silence_watches(std::chrono::milliseconds time)
{
    this->watches_silent_until = this->queue.now() + time;
}

void virtual_flow_fleet::check_policy(std::size_t index)
{
    entry_process& process = *this->entries[index];
    if (process.is_checking ||
        !process.core->is_policy_check_due(this->queue.now()))
    {
        return;
    }
    process.is_checking = true;
    ++this->check_count;
    this->queue.after(
        store_delay,
        [this, &process]
        {
            process.is_checking = false;
            if (this->store_up && !process.is_denied_by_store)
            {
                this->run_on(
                    process,
                    [this, &process](time_point now)
                    {
                        process.core->on_policy(now, this->current_policy);
                        process.core->on_policy_confirmed(now, now);
                    });
            }
        });
}

void virtual_flow_fleet::keep_copy()
{
    this->copies[this->queue.now()] = {this->current_policy, this->registered};
}

void virtual_flow_fleet::sync_all_entries()
{
    for (std::size_t i = 0; i < this->entries.size(); ++i)
    {
        this->sync_store(i);
    }
}

void virtual_flow_fleet::sync_store(std::size_t index)
{
    entry_process& process = *this->entries[index];
    if (!this->store_up || process.is_denied_by_store)
    {
        return;
    }
    this->run_on(
        process,
        [this, &process](time_point now)
        {
            if (!process.core)
            {
                return;
            }
            process.core->on_policy(now, this->current_policy);
            process.core->on_policy_confirmed(now, now);
            for (const instance_id id : this->registered)
            {
                const auto& companion =
                    *this->companions[this->companion_ids.at(id)];
                process.core->on_listed(
                    now, {id, "side-" + std::to_string(companion.index),
                          companion.service, domain_name(companion.domain),
                          companion.packet_address});
            }
            for (const instance_id id : process.listed)
            {
                if (!this->registered.contains(id))
                {
                    process.core->on_unlisted(now, id);
                }
            }
            process.listed = this->registered;
            process.core->on_list_read(now);
        });
}

void virtual_flow_fleet::register_companion(std::size_t index)
{
    companion_process& process = *this->companions[index];
    if (!process.core || process.has_left)
    {
        return;
    }
    if (!this->store_up || process.is_denied_by_store)
    {
        this->queue.after(
            registration_retry,
            [this, index] { this->register_companion(index); });
        return;
    }
    const bool is_new = this->registered.insert(process.id).second;
    process.core->on_registration(!is_new);
    this->queue.after(
        registration_recovery,
        [&process]
        {
            if (process.core)
            {
                process.core->on_registration(true);
            }
        });
    this->keep_copy();
    this->sync_all_entries();
}

void virtual_flow_fleet::register_companion_later(std::size_t index)
{
    std::uniform_int_distribution<int> phase(
        0, static_cast<int>(registration_retry.count()));
    this->queue.after(
        std::chrono::milliseconds(phase(this->random)),
        [this, index] { this->register_companion(index); });
}

void virtual_flow_fleet::fetch(instance_id from, instance_id to)
{
    this->queue.after(
        fetch_delay,
        [this, from, to]
        {
            if (!this->is_reachable(from, to))
            {
                return;
            }
            const auto peer_entry = this->entry_ids.find(from);
            const auto peer_companion = this->companion_ids.find(from);
            std::shared_ptr<const policy> value;
            if (peer_entry != this->entry_ids.end() &&
                this->entries[peer_entry->second]->core)
            {
                value =
                    this->entries[peer_entry->second]->core->shared_policy();
            }
            else if (
                peer_companion != this->companion_ids.end() &&
                this->companions[peer_companion->second]->core)
            {
                value = this->companions[peer_companion->second]
                            ->core->shared_policy();
            }
            if (!value)
            {
                return;
            }
            const auto take = [this, value](auto& process)
            {
                this->run_on(
                    process,
                    [&process, value](time_point now)
                    {
                        if (process.core)
                        {
                            process.core->on_policy(now, value);
                        }
                    });
            };
            if (this->entry_ids.contains(to))
            {
                take(*this->entries[this->entry_ids[to]]);
            }
            else
            {
                take(*this->companions[this->companion_ids[to]]);
            }
        });
}

void virtual_flow_fleet::restore_store_copy(
    std::chrono::milliseconds age, std::chrono::milliseconds rewrite)
{
    this->store_up = false;
    this->queue.after(
        restore_time,
        [this, age, rewrite]
        {
            const configuration newest = this->current_policy->value();
            this->lose_recent_writes(age);
            this->store_up = true;
            this->sync_all_entries();
            this->queue.after(
                rewrite,
                [this, newest]
                {
                    // Unless the operators have changed it meanwhile.
                    if (this->current_policy->value().number < newest.number)
                    {
                        this->write_document(newest);
                    }
                });
        });
}

void virtual_flow_fleet::lose_recent_writes(std::chrono::milliseconds age)
{
    auto copy = this->copies.upper_bound(this->queue.now() - age);
    copy = copy == this->copies.begin() ? copy : std::prev(copy);
    const stored_state state = copy->second;
    this->position = state.document->position();
    ++this->position.era;
    this->current_policy = std::make_shared<policy>(
        *state.document, this->position, this->position.era);
    this->registered = state.registered;
    this->copies.clear();
    this->keep_copy();
    std::uniform_int_distribution<int> spread(0, registration_spread_ms);
    for (std::size_t i = 0; i < this->companions.size(); ++i)
    {
        this->queue.after(
            std::chrono::milliseconds(spread(this->random)),
            [this, i] { this->register_companion(i); });
    }
}

void virtual_flow_fleet::move_route(
    const endpoint& target, const std::string& service)
{
    this->moved_routes[target] = service;
    this->checker.on_route_changed(target, service);
    this->publish_policy();
}

void virtual_flow_fleet::change_version()
{
    this->publish_policy();
}

} // namespace masticslip::standin
