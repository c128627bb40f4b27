#pragma once
/// Processes of the simulated fleet: each has a core and carries out its
/// output.

#include "node/flow_telemetry.hpp"
#include "virtual_flow_fleet.hpp"

namespace masticslip::standin
{

/// Name of a failure domain.
inline std::string domain_name(std::uint32_t number)
{
    return "domain-" + std::to_string(number);
}

struct virtual_flow_fleet::entry_process final : entry_flow_output
{
    entry_process(virtual_flow_fleet& owner, std::string label)
        : fleet(&owner), name(std::move(label)),
          events([this](const std::string& text)
                 { this->fleet->write_log(this->name, text); })
    {
    }

    void send_packet(const endpoint& companion, byte_view packet) override
    {
        this->fleet->send_packet_to_companion(this->index, companion, packet);
    }

    void
    reset_caller(const flow_endpoints& flow, std::uint32_t sequence) override
    {
        this->fleet->deliver_reset(flow, sequence);
    }

    void send(instance_id to, const flow_message& message) override
    {
        this->fleet->send_control(this->domain, this->id, to, message);
    }

    void fetch_policy(instance_id from) override
    {
        this->fleet->fetch(from, this->id);
    }

    virtual_flow_fleet* fleet;
    std::string name;
    flow_telemetry events;
    std::size_t index = 0;
    instance_id id;
    std::uint32_t domain = 0;
    std::unique_ptr<entry_flow_core> core;
    std::uint64_t incarnation_number = 0;
    time_point frozen_until;
    time_point cut_until;
    bool in_rotation = true;
    bool is_stopping = false;
    bool is_denied_by_store = false;
    bool is_checking = false;
    int failed_probes = 0;
    /// Version of the policy in force at the last tick.
    generation last_version = 0;
    std::set<instance_id> listed;
};

struct virtual_flow_fleet::companion_process final : companion_flow_output
{
    companion_process(virtual_flow_fleet& owner, std::string label)
        : fleet(&owner), name(std::move(label)),
          events([this](const std::string& text)
                 { this->fleet->write_log(this->name, text); })
    {
    }

    void send_to_upstream(byte_view packet) override
    {
        this->fleet->deliver_to_host(this->index, packet);
    }

    void send_to_caller(const endpoint&, byte_view packet) override
    {
        this->fleet->deliver_to_caller(decode(packet));
    }

    void
    reset_caller(const flow_endpoints& flow, std::uint32_t sequence) override
    {
        this->fleet->deliver_reset(flow, sequence);
    }

    void send(instance_id to, const flow_message& message) override
    {
        this->fleet->send_control(this->domain, this->id, to, message);
    }

    void fetch_policy(instance_id from) override
    {
        this->fleet->fetch(from, this->id);
    }

    void on_not_listed() override
    {
    }

    void check_presence() override
    {
        this->fleet->check_presence(this->index);
    }

    virtual_flow_fleet* fleet;
    std::string name;
    flow_telemetry events;
    std::size_t index = 0;
    instance_id id;
    endpoint packet_address;
    std::uint32_t domain = 0;
    std::string service;
    std::unique_ptr<virtual_host> host;
    std::unique_ptr<companion_flow_core> core;
    std::uint64_t incarnation_number = 0;
    time_point frozen_until;
    time_point cut_until;
    time_point drain_acknowledged;
    bool has_left = false;
    bool is_denied_by_store = false;
    /// Version of the policy in force at the last tick.
    generation last_version = 0;
};

template <class Process>
void virtual_flow_fleet::check_version(Process& process)
{
    const generation version = process.core->current_policy().mark().version;
    if (version < process.last_version)
    {
        this->checker.report(
            this->queue.now(), process.name + " went back from version " +
                                   std::to_string(process.last_version) +
                                   " to " + std::to_string(version));
    }
    process.last_version = version;
}

template <class Process, class Work>
void virtual_flow_fleet::run_on(Process& process, Work work)
{
    if (!process.core)
    {
        return;
    }
    const time_point now = this->queue.now();
    if (process.frozen_until > now)
    {
        // Input that arrives while the process is frozen is handled when it
        // resumes.
        this->queue.after(
            process.frozen_until - now,
            [this, &process, work] { this->run_on(process, work); });
        return;
    }
    work(now);
}

} // namespace masticslip::standin
