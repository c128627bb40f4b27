// Network of the simulated fleet: control messages, packets and resets.

#include "masticslip/core/rendezvous.hpp"
#include "virtual_flow_fleet.hpp"
#include "virtual_processes.hpp"

namespace masticslip::standin
{

using namespace std::chrono_literals;

namespace
{

/// A machine counts as disturbed for this long after a partition or freeze,
/// because others may hold stale state about it (`contact_ms` of the platform's
/// bounds).
constexpr std::chrono::milliseconds contact_time{4'000};
/// Time in which a presence check has its result.
constexpr std::chrono::milliseconds connect_time{1};

} // namespace

std::uint32_t virtual_flow_fleet::domain_of(instance_id id) const
{
    const auto entry = this->entry_ids.find(id);
    return entry != this->entry_ids.end()
               ? this->entries[entry->second]->domain
               : this->companions[this->companion_ids.at(id)]->domain;
}

bool virtual_flow_fleet::is_reachable(instance_id from, instance_id to) const
{
    const std::uint32_t first = this->domain_of(from);
    const std::uint32_t second = this->domain_of(to);
    if (this->cuts.contains(std::minmax(first, second)))
    {
        return false;
    }
    for (const instance_id id : {from, to})
    {
        const auto entry = this->entry_ids.find(id);
        if (entry != this->entry_ids.end() &&
            this->entries[entry->second]->cut_until > this->queue.now())
        {
            return false;
        }
        const auto companion = this->companion_ids.find(id);
        if (companion != this->companion_ids.end() &&
            this->companions[companion->second]->cut_until > this->queue.now())
        {
            return false;
        }
    }
    return true;
}

duration virtual_flow_fleet::delay(std::uint32_t from, std::uint32_t to) const
{
    return from == to ? this->shape.near_delay : this->shape.far_delay;
}

bool virtual_flow_fleet::is_lost()
{
    std::uniform_real_distribution<double> share(0, 1);
    return this->shape.loss > 0 && share(this->random) < this->shape.loss;
}

void virtual_flow_fleet::send_control(
    std::uint32_t from_domain,
    instance_id from,
    instance_id to,
    const flow_message& message)
{
    ++this->control_count;
    const bool known =
        this->entry_ids.contains(to) || this->companion_ids.contains(to);
    if (!known || this->is_lost() || !this->is_reachable(from, to))
    {
        return;
    }
    this->queue.after(
        this->delay(from_domain, this->domain_of(to)),
        [this, from, to, message]
        {
            const auto entry = this->entry_ids.find(to);
            if (entry == this->entry_ids.end())
            {
                auto& process = *this->companions[this->companion_ids[to]];
                this->run_on(
                    process,
                    [&process, from, message](time_point now)
                    {
                        if (process.core)
                        {
                            process.core->on_message(now, from, message);
                        }
                    });
                return;
            }
            auto& process = *this->entries[entry->second];
            this->run_on(
                process,
                [&process, from, message](time_point now)
                {
                    const auto* returned =
                        std::get_if<packet_returned>(&message);
                    if (!process.core)
                    {
                        return;
                    }
                    if (returned == nullptr)
                    {
                        process.core->on_message(now, from, message);
                        return;
                    }
                    virtual_packet packet = decode(returned->packet);
                    packet.flags.bounced = false;
                    const bytes raw = encode(packet);
                    process.core->on_returned_packet(now, from, view_of(raw));
                });
        });
}

void virtual_flow_fleet::route_to_entry(const virtual_packet& packet)
{
    std::vector<weighted_instance> ready;
    for (const auto& process : this->entries)
    {
        if (process->in_rotation)
        {
            ready.push_back({process->id, 1});
        }
    }
    if (ready.empty() || this->is_lost())
    {
        return;
    }
    const auto chosen =
        rank_candidates(hash_flow_endpoints(packet.flow), ready, 1);
    auto& process = *this->entries[this->entry_ids[chosen.front()]];
    const bytes raw = encode(packet);
    this->queue.after(
        this->shape.caller_delay,
        [this, &process, raw]
        {
            this->run_on(
                process,
                [&process, raw](time_point now)
                {
                    if (process.core)
                    {
                        process.core->on_caller_packet(now, view_of(raw));
                    }
                });
        });
}

void virtual_flow_fleet::send_packet_to_companion(
    std::size_t entry, const endpoint& address, byte_view raw)
{
    const auto found = this->packet_addresses.find(address);
    if (found == this->packet_addresses.end() || this->is_lost())
    {
        return;
    }
    auto& process = *this->companions[found->second];
    const instance_id from = this->entries[entry]->id;
    if (!this->is_reachable(from, process.id))
    {
        return;
    }
    const bytes copy(raw.begin(), raw.end());
    this->queue.after(
        this->delay(this->entries[entry]->domain, process.domain),
        [this, &process, from, copy]
        {
            this->run_on(
                process,
                [&process, from, copy](time_point now)
                {
                    if (process.core)
                    {
                        process.core->on_caller_packet(
                            now, from, view_of(copy));
                    }
                });
        });
}

void virtual_flow_fleet::deliver_to_caller(const virtual_packet& packet)
{
    if (this->is_lost())
    {
        return;
    }
    this->queue.after(
        this->shape.caller_delay,
        [this, packet] { this->clients.on_packet(packet); });
}

void virtual_flow_fleet::deliver_reset(
    const flow_endpoints& flow, std::uint32_t sequence)
{
    for (const auto& process : this->companions)
    {
        const time_point now = this->queue.now();
        const bool is_disturbed = process->cut_until + contact_time > now ||
                                  process->frozen_until + contact_time > now ||
                                  !this->cuts.empty() ||
                                  this->healed_at + contact_time > now;
        if (process->host->holds(flow) && this->clients.is_open(flow) &&
            this->clients.accepts_reset(flow, sequence) && !is_disturbed)
        {
            this->checker.on_reset_of_held_flow(
                now, flow, "host " + std::to_string(process->index));
        }
    }
    this->queue.after(
        this->shape.caller_delay,
        [this, flow, sequence] { this->clients.on_reset(flow, sequence); });
}

// Hosts.

void virtual_flow_fleet::deliver_to_host(std::size_t index, byte_view raw)
{
    const virtual_packet packet = decode(raw);
    companion_process& process = *this->companions[index];
    if (packet.flags.opens)
    {
        this->check_opening(index, packet);
    }
    else
    {
        this->check_packet(index, packet);
    }
    process.host->on_packet(packet, this->clients.work_of(packet.request));
}

void virtual_flow_fleet::check_packet(
    std::size_t index, const virtual_packet& packet)
{
    const auto is_own = [this, &packet](const auto& process)
    {
        return process->host->holds(packet.flow) &&
               this->clients.accepts_reset(packet.flow, packet.acknowledged);
    };
    const bool reaches_own = this->companions[index]->host->holds(packet.flow);
    const bool is_astray =
        !reaches_own && this->clients.is_open(packet.flow) &&
        std::any_of(this->companions.begin(), this->companions.end(), is_own);
    if (reaches_own || is_astray)
    {
        this->checker.on_flow_packet(
            this->queue.now(), packet.flow, "host " + std::to_string(index),
            reaches_own);
    }
}

void virtual_flow_fleet::check_presence(std::size_t index)
{
    companion_process& process = *this->companions[index];
    const upstream_presence result = process.host->is_alive()
                                         ? upstream_presence::running
                                         : upstream_presence::absent;
    const std::uint64_t incarnation_number = process.incarnation_number;
    this->queue.after(
        connect_time,
        [this, &process, result, incarnation_number]
        {
            this->run_on(
                process,
                [&process, result, incarnation_number](time_point now)
                {
                    if (process.core &&
                        process.incarnation_number == incarnation_number)
                    {
                        process.core->on_presence(now, result);
                    }
                });
        });
}

void virtual_flow_fleet::check_opening(
    std::size_t index, const virtual_packet& packet)
{
    const companion_process& process = *this->companions[index];
    this->checker.on_opening(
        this->queue.now(),
        {"host " + std::to_string(index), process.service,
         domain_name(process.domain), process.drain_acknowledged,
         process.host->is_cold(), &process.host->openings},
        packet.flow);
}

void virtual_flow_fleet::deliver_from_host(
    std::size_t index, const virtual_packet& packet)
{
    companion_process& process = *this->companions[index];
    const bytes raw = encode(packet);
    // Deferred, because the companion may be inside a call to the host.
    this->queue.after(
        duration(1),
        [this, &process, raw]
        {
            this->run_on(
                process,
                [&process, raw](time_point now)
                {
                    if (process.core)
                    {
                        process.core->on_upstream_packet(now, view_of(raw));
                    }
                });
        });
}

} // namespace masticslip::standin
