// Faults and planned operations of the simulated fleet.

#include "virtual_processes.hpp"

namespace masticslip::standin
{

using namespace std::chrono_literals;

namespace
{

/// A stopping entry keeps forwarding for this long, so that the fabric notices
/// that it is not ready.
constexpr std::chrono::milliseconds linger{2'000};
/// Interval at which a stopping companion checks whether it may exit.
constexpr std::chrono::milliseconds exit_check_interval{20};

} // namespace

void virtual_flow_fleet::kill_entry(
    std::size_t index, std::chrono::milliseconds down)
{
    this->entries[index]->core.reset();
    this->queue.after(
        this->shape.restart_time + down,
        [this, index] { this->start_entry(index); });
}

void virtual_flow_fleet::stop_entry(std::size_t index)
{
    this->entries[index]->is_stopping = true;
    this->queue.after(linger, [this, index] { this->kill_entry(index, 0ms); });
}

void virtual_flow_fleet::kill_companion(
    std::size_t index, std::chrono::milliseconds down)
{
    companion_process& process = *this->companions[index];
    process.core.reset();
    this->queue.after(
        this->shape.restart_time + down,
        [this, index]
        {
            if (!this->companions[index]->has_left)
            {
                this->start_companion(index);
            }
        });
}

void virtual_flow_fleet::stop_companion(std::size_t index)
{
    companion_process& process = *this->companions[index];
    if (process.core)
    {
        process.core->on_stop(this->queue.now());
        this->exit_companion(index, process.incarnation_number);
        return;
    }
    this->kill_companion(index, 0ms);
}

void virtual_flow_fleet::exit_companion(
    std::size_t index, std::uint64_t incarnation_number)
{
    const companion_process& process = *this->companions[index];
    if (!process.core || process.incarnation_number != incarnation_number)
    {
        return;
    }
    if (process.core->may_exit(this->queue.now()))
    {
        if (process.core->upstream_is_down())
        {
            this->registered.erase(process.id);
            this->keep_copy();
            this->sync_all_entries();
        }
        this->kill_companion(index, 0ms);
        return;
    }
    this->queue.after(
        exit_check_interval, [this, index, incarnation_number]
        { this->exit_companion(index, incarnation_number); });
}

void virtual_flow_fleet::freeze_entry(
    std::size_t index, std::chrono::milliseconds time)
{
    this->entries[index]->frozen_until = this->queue.now() + time;
}

void virtual_flow_fleet::freeze_companion(
    std::size_t index, std::chrono::milliseconds time)
{
    this->companions[index]->frozen_until = this->queue.now() + time;
}

void virtual_flow_fleet::crash_host(
    std::size_t index, std::chrono::milliseconds down, bool bounces)
{
    this->companions[index]->host->crash(bounces);
    this->queue.after(
        down,
        [this, index]
        {
            companion_process& process = *this->companions[index];
            process.host->start(true);
            if (process.core)
            {
                process.core->on_status(
                    this->queue.now(), process.host->next_status());
            }
        });
}

void virtual_flow_fleet::drain_host(
    std::size_t index, std::chrono::milliseconds time)
{
    companion_process& process = *this->companions[index];
    process.host->drain();
    if (process.core)
    {
        process.core->on_status(this->queue.now(), process.host->next_status());
        process.drain_acknowledged = this->queue.now();
    }
    this->queue.after(
        time,
        [this, index]
        {
            companion_process& leaving = *this->companions[index];
            if (leaving.core)
            {
                leaving.core->on_departure(
                    this->queue.now(), {"host-" + std::to_string(index), {}});
                leaving.core->on_stop(this->queue.now());
            }
            leaving.host->crash();
            leaving.core.reset();
            leaving.has_left = true;
            this->registered.erase(leaving.id);
            this->keep_copy();
            this->sync_all_entries();
        });
}

void virtual_flow_fleet::add_host(
    const std::string& service, std::uint32_t domain)
{
    this->create_companion(service, domain);
}

void virtual_flow_fleet::lose_power(std::chrono::milliseconds down)
{
    for (std::size_t i = 0; i < this->entries.size(); ++i)
    {
        this->kill_entry(i, down);
    }
    for (std::size_t i = 0; i < this->companions.size(); ++i)
    {
        if (!this->companions[i]->has_left)
        {
            this->kill_companion(i, down);
            this->companions[i]->host->crash();
            this->queue.after(
                this->shape.restart_time + down,
                [this, i] { this->companions[i]->host->start(true); });
        }
    }
}

void virtual_flow_fleet::cut_domains(std::uint32_t first, std::uint32_t second)
{
    this->cuts.insert(std::minmax(first, second));
}

void virtual_flow_fleet::heal_domains()
{
    this->cuts.clear();
    this->healed_at = this->queue.now();
}

void virtual_flow_fleet::cut_companion(
    std::size_t index, std::chrono::milliseconds time)
{
    this->companions[index]->cut_until = this->queue.now() + time;
}

void virtual_flow_fleet::cut_entry(
    std::size_t index, std::chrono::milliseconds time)
{
    this->entries[index]->cut_until = this->queue.now() + time;
}

void virtual_flow_fleet::stop_store(std::chrono::milliseconds time)
{
    this->store_up = false;
    this->queue.after(
        time,
        [this]
        {
            this->store_up = true;
            this->sync_all_entries();
        });
}

void virtual_flow_fleet::stop_store_and_end_leases(
    std::chrono::milliseconds time)
{
    this->store_up = false;
    this->queue.after(
        time,
        [this]
        {
            this->store_up = true;
            this->registered.clear();
            this->sync_all_entries();
            for (std::size_t i = 0; i < this->companions.size(); ++i)
            {
                this->register_companion_later(i);
            }
        });
}

void virtual_flow_fleet::turn_away_companion(
    std::size_t index, std::chrono::milliseconds time)
{
    companion_process& process = *this->companions[index];
    process.is_denied_by_store = true;
    this->registered.erase(process.id);
    this->keep_copy();
    this->sync_all_entries();
    this->queue.after(
        time,
        [this, index]
        {
            this->companions[index]->is_denied_by_store = false;
            this->register_companion_later(index);
        });
}

void virtual_flow_fleet::turn_away_entry(
    std::size_t index, std::chrono::milliseconds time)
{
    this->entries[index]->is_denied_by_store = true;
    this->queue.after(
        time,
        [this, index]
        {
            this->entries[index]->is_denied_by_store = false;
            this->sync_store(index);
        });
}

void virtual_flow_fleet::withdraw(std::uint32_t domain)
{
    this->withdrawn.insert(domain_name(domain));
    this->checker.on_withdrawn(domain_name(domain), this->queue.now());
    this->publish_policy();
}

void virtual_flow_fleet::restore(std::uint32_t domain)
{
    this->withdrawn.erase(domain_name(domain));
    this->checker.on_restored(domain_name(domain));
    this->publish_policy();
}

} // namespace masticslip::standin
