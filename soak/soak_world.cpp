// Start of the processes and simulated parts, and the clock.

#include "soak_slots.hpp"

#include "platform/packet_bridge.hpp"

#include <algorithm>

#include <unistd.h>

namespace masticslip::soak
{

using namespace std::chrono_literals;
using namespace masticslip::standin;

std::uint8_t network_of_process()
{
    constexpr int first_network = 10;
    constexpr int network_count = 240;
    return static_cast<std::uint8_t>(
        first_network + ::getpid() % network_count);
}

soak_world::soak_world(soak_settings values)
    : settings(std::move(values)),
      promises({}, {{meetups_address, "meetups"}, {papers_address, "papers"}}),
      clients(
          this->queue,
          this->settings.seed,
          [this](const virtual_packet& packet) { this->route(packet); }),
      store(this->context), fabric(this->context), caller_socket(this->context)
{
    this->store.page_size = 500;
    this->clients.set_first_address(this->address_of(caller_group, 1));
}

soak_world::~soak_world() = default;

std::uint32_t
soak_world::address_of(std::uint8_t group, std::uint32_t number) const
{
    constexpr std::uint32_t loopback = 0x7F000000;
    return loopback | (std::uint32_t{this->settings.network} << 16U) |
           (std::uint32_t{group} << 8U) | number;
}

soak_world::node_slot&
soak_world::create_node(const std::string& role, machine_settings machine)
{
    auto slot = std::make_unique<node_slot>();
    const auto number = static_cast<std::uint32_t>(this->nodes.size() + 1);
    machine.store = {this->address_of(proxy_group, number), store_port};
    slot->proxy = std::make_unique<fault_proxy>(
        this->context, machine.store, this->store.local());
    slot->address = machine.address;
    slot->is_entry = !machine.service;
    slot->process = std::make_unique<node_process>(
        this->settings.program, role, machine.name, this->settings.folder,
        settings_text(machine));
    this->node_by_address[machine.address] = this->nodes.size();
    this->nodes.push_back(std::move(slot));
    return *this->nodes.back();
}

void soak_world::create_entry(std::uint32_t number)
{
    machine_settings machine;
    machine.name = "entry-" + std::to_string(number);
    machine.failure_domain = domain_name(number % this->settings.domains);
    machine.address = this->address_of(entry_group, number + 1);
    this->create_node("entry", std::move(machine));
}

void soak_world::create_companion(
    const std::string& service, std::uint32_t number)
{
    auto slot = std::make_unique<host_slot>();
    const std::uint32_t address = this->address_of(companion_group, number + 1);
    slot->node = this->nodes.size();
    slot->service = service;
    slot->domain = number % this->settings.domains;
    machine_settings machine;
    machine.name = "side-" + std::to_string(number);
    machine.failure_domain = domain_name(slot->domain);
    machine.address = address;
    machine.service = service;
    machine.status_interval = status_interval;
    this->create_node("companion", std::move(machine));
    host_shape shape;
    shape.service = service;
    shape.failure_domain = domain_name(slot->domain);
    slot->packets = std::make_unique<datagram_socket>(this->context);
    datagram_socket& socket = *slot->packets;
    slot->host = std::make_unique<virtual_host>(
        this->queue, shape, "host-" + std::to_string(number),
        [&socket, address](const virtual_packet& packet) {
            socket.send({address, ports.outbound}, to_datagram(packet));
        });
    slot->host->on_run = [this](std::uint64_t request)
    {
        this->check_execution(request);
    };
    this->hosts.push_back(std::move(slot));
}

void soak_world::write_configuration()
{
    // Consecutive versions differ in their time limit.
    constexpr std::uint64_t time_limit_count = 7;
    const auto time_limit = 1s + std::chrono::milliseconds(static_cast<int>(
                                     this->version % time_limit_count));
    this->configuration = configuration_text(++this->version, time_limit);
    this->store.write(configuration_key(), this->configuration);
}

void soak_world::repeat_operator_writes()
{
    this->store.write(configuration_key(), this->configuration);
    for (std::uint32_t domain = 0; domain < this->settings.domains; ++domain)
    {
        const std::string name = domain_name(domain);
        if (this->withdrawn.contains(name))
        {
            this->store.write(withdrawal_key(name), "{}");
        }
        else
        {
            this->store.remove(withdrawal_key(name));
        }
    }
}

bool soak_world::start(std::string& reason)
{
    if (!this->store.open(
            {this->address_of(store_group, 1), store_port}, reason) ||
        !this->fabric.open({this->address_of(caller_group, 2), 0}, reason) ||
        !this->caller_socket.open(
            {this->address_of(caller_group, 1), ports.packets}, reason))
    {
        return false;
    }
    this->caller_socket.start([this](const endpoint& sender, byte_view datagram)
                              { this->on_caller_datagram(sender, datagram); });
    for (std::uint32_t i = 0; i < this->settings.entries; ++i)
    {
        this->create_entry(i);
    }
    for (std::uint32_t i = 0; i < this->settings.meetups; ++i)
    {
        this->create_companion("meetups", i);
    }
    for (std::uint32_t i = 0; i < this->settings.papers; ++i)
    {
        this->create_companion("papers", this->settings.meetups + i);
    }
    this->write_configuration();
    for (auto& slot : this->nodes)
    {
        if (!slot->proxy->open(reason))
        {
            return false;
        }
        slot->process->start();
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        const std::uint32_t address =
            this->nodes[this->hosts[i]->node]->address;
        if (!this->hosts[i]->packets->open({address, ports.upstream}, reason))
        {
            return false;
        }
        this->hosts[i]->packets->start(
            [this, i](const endpoint&, byte_view datagram)
            { this->on_host_datagram(i, datagram); });
        this->start_host(i, false);
    }
    this->began = std::chrono::steady_clock::now();
    this->supervise();
    this->probe_entries();
    const auto all_ready = [this]
    {
        return std::all_of(
            this->nodes.begin(), this->nodes.end(),
            [](const auto& slot)
            { return !slot->is_entry || slot->in_rotation; });
    };
    while (!all_ready())
    {
        if (this->queue.now() - event_queue::start() > ready_limit)
        {
            reason = "the entries did not become ready";
            return false;
        }
        this->run_until(this->queue.now() + 100ms);
    }
    // Companions accept flows once their upstream has reported its status.
    this->run_until(this->queue.now() + 2s);
    return true;
}

void soak_world::start_load(std::chrono::seconds end)
{
    this->load_start = this->queue.now();
    // Five slots with a service time of 30 ms.
    constexpr double full_load_per_host = 33.0 * 5;
    request_class board;
    board.name = "board";
    board.target = meetups_address;
    board.per_second =
        full_load_per_host * this->settings.load * this->settings.meetups;
    // Requests with a long time limit outlast restarts on their flow.
    request_class watch;
    watch.name = "watch";
    watch.target = meetups_address;
    watch.per_second = board.per_second / 4;
    watch.time_limit = 5'000ms;
    request_class upload;
    upload.name = "upload";
    upload.target = papers_address;
    upload.kind = request_kind::upload;
    upload.long_flows = false;
    upload.per_second = 10;
    upload.work = 5ms;
    upload.parts = 10;
    upload.target_latency = 500ms;
    upload.time_limit = 3'000ms;
    this->clients.start(board, this->load_start + end);
    this->clients.start(watch, this->load_start + end);
    this->clients.start(upload, this->load_start + end);
}

void soak_world::at(std::chrono::milliseconds time, std::function<void()> work)
{
    this->queue.after(
        this->load_start + time - this->queue.now(), std::move(work));
}

void soak_world::run(std::chrono::milliseconds until)
{
    this->run_until(this->load_start + until);
}

void soak_world::run_until(time_point end)
{
    while (this->queue.now() < end)
    {
        this->context.restart();
        this->context.run_for(clock_step);
        const auto elapsed = std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now() - this->began);
        this->queue.run_until(
            std::max(this->queue.now(), event_queue::start() + elapsed));
    }
}

double soak_world::served_share(
    std::chrono::milliseconds from, std::chrono::milliseconds to) const
{
    return this->clients.served_share(
        this->load_start + from, this->load_start + to);
}

} // namespace masticslip::soak
