#include "soak_world.hpp"

#include "masticslip/core/rendezvous.hpp"
#include "platform/packet_bridge.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <csignal>

namespace masticslip::soak
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;
using namespace masticslip::standin;

namespace
{

/// Groups of addresses: 127.network.group.number.
constexpr std::uint8_t store_group = 0;
constexpr std::uint8_t entry_group = 1;
constexpr std::uint8_t companion_group = 2;
constexpr std::uint8_t proxy_group = 3;
constexpr std::uint8_t caller_group = 100;

constexpr std::uint16_t store_port = 8'169;
constexpr std::uint16_t packet_port = 8'172;
constexpr std::uint16_t ready_port = 8'167;
constexpr std::uint16_t status_port = 8'166;
constexpr std::uint16_t upstream_port = 8'165;
constexpr std::uint16_t outbound_port = 8'162;

constexpr endpoint meetups_address{0xC6120001, 443};
constexpr endpoint papers_address{0xC6120002, 443};

constexpr std::chrono::milliseconds status_interval{1'000};
constexpr std::chrono::milliseconds status_limit{1'000};
constexpr std::chrono::milliseconds probe_interval{500};
constexpr std::chrono::milliseconds probe_limit{400};
/// Probes in a row without success before an entry leaves the rotation.
constexpr int believed_misses = 2;
constexpr std::chrono::milliseconds supervise_interval{50};
constexpr std::chrono::milliseconds restart_delay{300};
/// A machine counts as disturbed for this long after a fault
/// (`contact_ms` of the platform's bounds).
constexpr std::chrono::milliseconds contact_time{4'000};
/// A leaving upstream goes on for this long after its acknowledgement.
constexpr std::chrono::milliseconds drain_time{3'500};
constexpr std::chrono::seconds ready_limit{20};
constexpr std::chrono::milliseconds clock_step{1};

std::string domain_name(std::uint32_t number)
{
    return "domain-" + std::to_string(number);
}

} // namespace

struct soak_world::node_slot
{
    std::unique_ptr<node_process> process;
    std::unique_ptr<fault_proxy> proxy;
    std::uint32_t address = 0;
    bool is_entry = false;
    bool in_rotation = false;
    int misses = 0;
    /// Set while the process is down on purpose.
    time_point down_until;
    time_point disturbed_until;
};

struct soak_world::host_slot
{
    std::unique_ptr<virtual_host> host;
    std::unique_ptr<datagram_socket> packets;
    std::size_t node = 0;
    std::string service;
    std::uint32_t domain = 0;
    std::uint64_t life = 0;
    time_point leaving_since;
    std::optional<upstream_status> old_status;
};

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

// Start.

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

// The clock.

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

// Processes.

void soak_world::supervise()
{
    const time_point now = this->queue.now();
    for (auto& slot : this->nodes)
    {
        const bool is_down = now < slot->down_until;
        if (!is_down && !slot->process->is_running())
        {
            slot->process->start();
        }
    }
    this->queue.after(supervise_interval, [this] { this->supervise(); });
}

void soak_world::disturb(std::size_t node, duration time)
{
    time_point& until = this->nodes[node]->disturbed_until;
    until = std::max(until, this->queue.now() + time + contact_time);
    this->postpone_withdrawals(time + contact_time);
}

bool soak_world::is_disturbed(std::size_t node) const
{
    const time_point now = this->queue.now();
    return now < this->nodes[node]->disturbed_until ||
           now < this->store_harmed_until;
}

void soak_world::postpone_withdrawals(duration time)
{
    for (const auto& domain : this->withdrawn)
    {
        this->promises.on_withdrawn(domain, this->queue.now() + time);
    }
}

void soak_world::kill_process(std::size_t index, std::chrono::milliseconds down)
{
    node_slot& slot = *this->nodes[index];
    this->disturb(index, down + restart_delay);
    slot.down_until = this->queue.now() + down + restart_delay;
    slot.process->signal(SIGKILL);
}

void soak_world::stop_process(std::size_t index)
{
    // The supervisor starts it again once it has ended.
    this->nodes[index]->process->signal(SIGTERM);
}

void soak_world::reload_process(std::size_t index)
{
    this->nodes[index]->process->signal(SIGHUP);
}

void soak_world::pause_process(
    std::size_t index, std::chrono::milliseconds time)
{
    this->disturb(index, time);
    this->nodes[index]->process->signal(SIGSTOP);
    this->queue.after(
        time, [this, index] { this->nodes[index]->process->signal(SIGCONT); });
}

// The store.

void soak_world::harm_store_link(
    std::size_t index, proxy_mode mode, std::chrono::milliseconds time)
{
    this->disturb(index, time);
    this->nodes[index]->proxy->set_mode(mode);
    this->queue.after(
        time, [this, index]
        { this->nodes[index]->proxy->set_mode(proxy_mode::pass); });
}

void soak_world::harm_store(store_fault fault, std::chrono::milliseconds time)
{
    this->store.fault = fault;
    this->store.delay = 500ms;
    this->store_harmed_until = std::max(
        this->store_harmed_until, this->queue.now() + time + contact_time);
    this->postpone_withdrawals(time + contact_time);
    this->queue.after(time, [this] { this->store.fault = store_fault::none; });
}

void soak_world::drop_store_history()
{
    this->store.compact();
}

void soak_world::end_store_leases()
{
    this->store.end_leases();
}

void soak_world::withdraw(std::uint32_t domain)
{
    this->withdrawn.insert(domain_name(domain));
    this->store.write("op/evacuate/" + domain_name(domain), "{}");
    // A harmed store or process delays the news.
    time_point since = std::max(this->queue.now(), this->store_harmed_until);
    for (const auto& slot : this->nodes)
    {
        since = std::max(since, slot->disturbed_until);
    }
    this->promises.on_withdrawn(domain_name(domain), since);
}

void soak_world::restore(std::uint32_t domain)
{
    this->withdrawn.erase(domain_name(domain));
    this->store.remove("op/evacuate/" + domain_name(domain));
    this->promises.on_restored(domain_name(domain));
}

void soak_world::change_configuration()
{
    this->write_configuration();
}

// Upstreams.

void soak_world::start_host(std::size_t index, bool is_cold)
{
    host_slot& slot = *this->hosts[index];
    ++slot.life;
    slot.leaving_since = {};
    slot.host->start(is_cold);
    this->beat(index, slot.life);
}

void soak_world::beat(std::size_t index, std::uint64_t life)
{
    host_slot& slot = *this->hosts[index];
    if (slot.life != life || !slot.host->is_alive())
    {
        return;
    }
    const upstream_status status = slot.host->next_status();
    slot.old_status = status;
    asio::co_spawn(
        this->context, this->send_status(index, status), asio::detached);
    this->queue.after(
        status_interval, [this, index, life] { this->beat(index, life); });
}

asio::awaitable<void>
soak_world::send_status(std::size_t index, upstream_status status)
{
    host_slot& slot = *this->hosts[index];
    const std::uint64_t life = slot.life;
    const std::uint32_t address = this->nodes[slot.node]->address;
    http_call call;
    call.server = {address, status_port};
    call.method = http::verb::put;
    call.target = "/api/instances/" + status.incarnation.id;
    call.timeout = status_limit;
    call.body = json::serialize(json::object{
        {"service", status.service},
        {"address", to_string(endpoint{address, upstream_port})},
        {"zone", status.failure_domain},
        {"version", "v1"},
        {"concurrency", status.concurrency},
        {"state", status.is_draining ? "draining" : "ready"},
        {"warmup_left_ms", status.cold_for.count()},
        {"sequence", status.sequence},
        {"born", status.incarnation.started.count()}});
    std::string problem;
    const auto answer = co_await send_http(std::move(call), problem);
    const bool is_acknowledged =
        answer && answer->result() == http::status::ok && slot.life == life;
    if (is_acknowledged && status.is_draining &&
        slot.leaving_since == time_point{})
    {
        slot.leaving_since = this->queue.now();
    }
}

asio::awaitable<void> soak_world::send_departure(
    std::size_t index, std::string id, std::chrono::milliseconds started)
{
    http_call call;
    call.server = {this->nodes[this->hosts[index]->node]->address, status_port};
    call.method = http::verb::delete_;
    call.target = "/api/instances/" + id;
    call.body = json::serialize(json::object{{"born", started.count()}});
    call.timeout = status_limit;
    std::string problem;
    co_await send_http(std::move(call), problem);
}

void soak_world::crash_host(
    std::size_t index, bool bounces, std::chrono::milliseconds down)
{
    host_slot& slot = *this->hosts[index];
    this->disturb(slot.node, down);
    ++slot.life;
    slot.host->crash(bounces);
    const std::uint64_t life = slot.life;
    this->queue.after(
        down,
        [this, index, life]
        {
            if (this->hosts[index]->life == life)
            {
                this->start_host(index, true);
            }
        });
}

void soak_world::replace_host(std::size_t index)
{
    host_slot& slot = *this->hosts[index];
    slot.host->drain();
    const std::uint64_t life = slot.life;
    this->queue.after(
        status_interval + drain_time,
        [this, index, life]
        {
            host_slot& leaving = *this->hosts[index];
            if (leaving.life != life || !leaving.old_status)
            {
                return;
            }
            const auto incarnation = leaving.old_status->incarnation;
            asio::co_spawn(
                this->context,
                this->send_departure(
                    index, incarnation.id, incarnation.started),
                asio::detached);
            this->crash_host(index, false, 1'000ms);
        });
}

void soak_world::repeat_old_status(std::size_t index)
{
    host_slot& slot = *this->hosts[index];
    if (!slot.old_status)
    {
        return;
    }
    const upstream_status status = *slot.old_status;
    this->queue.after(
        2'500ms,
        [this, index, status]
        {
            asio::co_spawn(
                this->context, this->send_status(index, status),
                asio::detached);
        });
}

// The network.

void soak_world::probe_entries()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        if (this->nodes[i]->is_entry)
        {
            asio::co_spawn(this->context, this->probe(i), asio::detached);
        }
    }
    this->queue.after(probe_interval, [this] { this->probe_entries(); });
}

asio::awaitable<void> soak_world::probe(std::size_t index)
{
    node_slot& slot = *this->nodes[index];
    http_call call;
    call.server = {slot.address, ready_port};
    call.target = "/api/ready";
    call.timeout = probe_limit;
    std::string problem;
    const auto answer = co_await send_http(std::move(call), problem);
    const bool is_ready = answer && answer->result() == http::status::ok;
    slot.misses = is_ready ? 0 : slot.misses + 1;
    slot.in_rotation =
        is_ready || (slot.in_rotation && slot.misses < believed_misses);
}

void soak_world::route(const virtual_packet& packet)
{
    std::vector<weighted_instance> ready;
    std::vector<weighted_instance> all;
    for (const auto& slot : this->nodes)
    {
        if (slot->is_entry)
        {
            all.push_back({{slot->address}, 1});
            if (slot->in_rotation)
            {
                ready.push_back({{slot->address}, 1});
            }
        }
    }
    const auto& members = ready.empty() ? all : ready;
    const auto chosen =
        rank_candidates(hash_flow_ends(packet.flow), members, 1);
    const auto address = static_cast<std::uint32_t>(chosen.front().value);
    this->fabric.send({address, packet_port}, to_datagram(packet));
}

void soak_world::on_host_datagram(std::size_t index, byte_view datagram)
{
    const auto packet = from_datagram(datagram, true);
    const time_point now = this->queue.now();
    host_slot& slot = *this->hosts[index];
    if (!packet)
    {
        this->promises.report(now, "a host gets what is no packet");
        return;
    }
    if (packet->flags.opens && slot.host->is_alive())
    {
        this->promises.on_opening(
            now,
            {"host " + std::to_string(index), slot.service,
             domain_name(slot.domain), slot.leaving_since, slot.host->is_cold(),
             &slot.host->openings},
            packet->flow);
    }
    const auto before = slot.host->runs.size();
    const auto known = slot.host->runs.find(packet->request);
    const int count = known == slot.host->runs.end() ? 0 : known->second;
    slot.host->on_packet(*packet, this->clients.work_of(packet->request));
    const auto after = slot.host->runs.find(packet->request);
    const bool has_run =
        slot.host->runs.size() != before ||
        (after != slot.host->runs.end() && after->second != count);
    if (has_run)
    {
        this->check_runs(*packet);
    }
}

void soak_world::check_runs(const virtual_packet& packet)
{
    const int count = ++this->runs[packet.request];
    if (count > 1 && !this->clients.is_repeatable(packet.request))
    {
        this->promises.on_repeated_run(this->queue.now(), packet.request);
    }
}

void soak_world::on_caller_datagram(const endpoint& sender, byte_view datagram)
{
    const auto packet = from_datagram(datagram, false);
    if (!packet)
    {
        this->promises.report(
            this->queue.now(), "a caller gets what is no packet");
        return;
    }
    if (!packet->flags.resets)
    {
        this->clients.on_packet(*packet);
        return;
    }
    this->check_reset(sender, packet->flow);
    this->clients.on_reset(packet->flow);
}

void soak_world::check_reset(const endpoint& sender, const flow_ends& flow)
{
    const auto from = this->node_by_address.find(sender.address);
    const bool is_known = from != this->node_by_address.end();
    for (const auto& slot : this->hosts)
    {
        const bool is_excused = !is_known || this->is_disturbed(from->second) ||
                                this->is_disturbed(slot->node);
        if (slot->host->holds(flow) && this->clients.is_open(flow) &&
            !is_excused)
        {
            this->promises.on_reset_of_held_flow(
                this->queue.now(), flow,
                this->nodes[slot->node]->process->label() + " (reset by " +
                    to_string(sender) + ")");
        }
    }
}

} // namespace masticslip::soak
