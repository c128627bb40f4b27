// Start of the processes and stand-ins, and the clock.

#include "soak_slots.hpp"

#include "platform/packet_bridge.hpp"

#include <boost/json.hpp>

#include <algorithm>

#include <unistd.h>

namespace masticslip::soak
{

namespace json = boost::json;
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
      store(this->context), fabric(this->context), caller_side(this->context)
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

soak_world::node_slot& soak_world::create_node(
    const std::string& role,
    const std::string& name,
    std::uint32_t address,
    std::uint32_t domain,
    const std::string& more_settings)
{
    auto slot = std::make_unique<node_slot>();
    const auto number = static_cast<std::uint32_t>(this->nodes.size() + 1);
    const endpoint proxy{this->address_of(proxy_group, number), store_port};
    slot->proxy = std::make_unique<fault_proxy>(
        this->context, proxy, this->store.local());
    slot->address = address;
    slot->is_entry = role == "entry";
    const std::string text = "node_name=" + name +
                             "\nzone=" + domain_name(domain) +
                             "\nbind_addrs.datagram_addr=" +
                             to_string(endpoint{address, packet_port}) +
                             "\nbind_addrs.readiness_addr=" +
                             to_string(endpoint{address, ready_port}) +
                             "\nport_range=7720,7735\nlimits.memory_mb=64\n" +
                             "platform.address=" + to_string(proxy) +
                             "\nplatform.ttl_min_ms=1000\n" + more_settings;
    slot->process = std::make_unique<node_process>(
        this->settings.program, role, name, this->settings.folder, text);
    this->node_by_address[address] = this->nodes.size();
    this->nodes.push_back(std::move(slot));
    return *this->nodes.back();
}

void soak_world::create_entry(std::uint32_t number)
{
    this->create_node(
        "entry", "entry-" + std::to_string(number),
        this->address_of(entry_group, number + 1),
        number % this->settings.domains, "");
}

void soak_world::create_companion(
    const std::string& service, std::uint32_t number)
{
    auto slot = std::make_unique<host_slot>();
    const std::uint32_t address = this->address_of(companion_group, number + 1);
    slot->node = this->nodes.size();
    slot->service = service;
    slot->domain = number % this->settings.domains;
    const std::string more =
        "app=" + to_string(endpoint{address, upstream_port}) +
        "\nservice=" + service +
        "\nheartbeat_ms=" + std::to_string(status_interval.count()) +
        "\nbind_addrs.outbound=" + to_string(endpoint{address, outbound_port}) +
        "\nbind_addrs.control_plane=" +
        to_string(endpoint{address, status_port}) + "\n";
    this->create_node(
        "companion", "side-" + std::to_string(number), address, slot->domain,
        more);
    host_shape shape;
    shape.service = service;
    shape.failure_domain = domain_name(slot->domain);
    slot->packets = std::make_unique<datagram_socket>(this->context);
    datagram_socket& socket = *slot->packets;
    slot->host = std::make_unique<virtual_host>(
        this->queue, shape, "host-" + std::to_string(number),
        [&socket, address](const virtual_packet& packet) {
            socket.send({address, outbound_port}, to_datagram(packet));
        });
    this->hosts.push_back(std::move(slot));
}

void soak_world::write_configuration()
{
    json::array routes;
    const auto add = [&routes](
                         const char* name, const char* address,
                         const char* kind, int time_limit, int target)
    {
        routes.push_back(
            {{"name", name},
             {"hostname", address},
             {"prefix", "/443/"},
             {"type", kind},
             {"timeout_ms", time_limit},
             {"target_latency_ms", target},
             {"priority", 1},
             {"service", name}});
    };
    const int time_limit = 1'000 + static_cast<int>(this->version % 7);
    add("meetups", "198.18.0.1", "safe", time_limit, 150);
    add("papers", "198.18.0.2", "upload", 3'000, 500);
    const json::object document{
        {"version", ++this->version},
        {"routes", routes},
        {"services",
         json::array{
             json::object{{"name", "meetups"}},
             json::object{{"name", "papers"}}}},
        {"limits", json::object{{"idle_timeout_ms", 12'000}}}};
    this->store.write("op/config", json::serialize(document));
}

bool soak_world::start(std::string& reason)
{
    if (!this->store.open(
            {this->address_of(store_group, 1), store_port}, reason) ||
        !this->fabric.open({this->address_of(caller_group, 2), 0}, reason) ||
        !this->caller_side.open(
            {this->address_of(caller_group, 1), packet_port}, reason))
    {
        return false;
    }
    this->caller_side.start([this](const endpoint& sender, byte_view datagram)
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
        if (!this->hosts[i]->packets->open({address, upstream_port}, reason))
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
            reason = "the entries do not become ready";
            return false;
        }
        this->run_until(this->queue.now() + 100ms);
    }
    // Companions take flows once their upstream has told its status.
    this->run_until(this->queue.now() + 2s);
    return true;
}

void soak_world::start_load(std::chrono::seconds end)
{
    this->load_start = this->queue.now();
    constexpr double full = 33.0 * 5;
    request_class board;
    board.name = "board";
    board.target = meetups_address;
    board.per_second = full * this->settings.load * this->settings.meetups;
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
