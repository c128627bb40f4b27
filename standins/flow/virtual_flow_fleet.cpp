#include "virtual_flow_fleet.hpp"

#include "masticslip/core/rendezvous.hpp"
#include "virtual_processes.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace masticslip::standin
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t entry_network = 0x0A010000;
constexpr std::uint32_t companion_network = 0x0A020000;
constexpr std::uint16_t control_port = 7'120;
constexpr std::uint16_t packet_port = 8'232;
constexpr std::chrono::milliseconds status_interval{1'000};
constexpr std::chrono::milliseconds store_delay{5};
/// Readiness probes of the fabric: their interval, and the number of
/// consecutive failures after which it takes an entry out of the rotation.
constexpr std::chrono::milliseconds readiness_probe_interval{500};
constexpr int unready_threshold = 2;

std::map<endpoint, std::string> services_of(const fleet_shape& shape)
{
    std::map<endpoint, std::string> result;
    for (const auto& service : shape.services)
    {
        result[service.address] = service.name;
    }
    return result;
}

constexpr std::chrono::milliseconds core_tick{20};

} // namespace

fleet_shape small_fleet()
{
    fleet_shape shape;
    shape.services = {
        {"meetups", 7, {0xC6120001, 443}, request_kind::safe},
        {"papers", 3, {0xC6120002, 443}, request_kind::upload}};
    return shape;
}

std::vector<request_class> small_load(double share)
{
    // 35 slots with a service time of 30 ms serve about 1,100 requests/s.
    constexpr double full_rate = 1'100;
    constexpr double uploads = 25;
    request_class board;
    board.name = "board";
    board.target = {0xC6120001, 443};
    board.per_second = full_rate * share * 0.75;
    request_class sign_up = board;
    sign_up.name = "sign-up";
    sign_up.kind = request_kind::unsafe;
    sign_up.long_flows = false;
    sign_up.per_second = full_rate * share * 0.25;
    sign_up.target_latency = 200ms;
    sign_up.time_limit = 1'200ms;
    request_class upload = sign_up;
    upload.name = "upload";
    upload.target = {0xC6120002, 443};
    upload.kind = request_kind::upload;
    upload.per_second = uploads;
    upload.work = 5ms;
    upload.parts = 34;
    upload.target_latency = 500ms;
    upload.time_limit = 3'000ms;
    return {board, sign_up, upload};
}

virtual_flow_fleet::virtual_flow_fleet(fleet_shape values, std::uint64_t seed)
    : shape(std::move(values)), random(seed),
      clients(
          this->queue,
          seed + 1,
          [this](const virtual_packet& packet)
          { this->route_to_entry(packet); }),
      checker(
          {promise_bounds{}.withdraw, promise_bounds{}.drain,
           this->shape.cold_flows_per_second},
          services_of(this->shape))
{
    this->publish_policy();
    std::uint32_t placed = 0;
    for (const auto& service : this->shape.services)
    {
        for (std::uint32_t i = 0; i < service.hosts; ++i)
        {
            this->create_companion(
                service.name, placed++ % this->shape.domains);
        }
    }
    for (std::uint32_t i = 0; i < this->shape.entries; ++i)
    {
        this->add_entry();
    }
    // Let all instances discover each other before traffic starts.
    this->queue.run_until(this->queue.now() + 3s);
}

virtual_flow_fleet::~virtual_flow_fleet() = default;

const virtual_host& virtual_flow_fleet::host(std::size_t index) const
{
    return *this->companions.at(index)->host;
}

std::size_t virtual_flow_fleet::first_host(const std::string& service) const
{
    for (std::size_t i = 0; i < this->companions.size(); ++i)
    {
        if (this->companions[i]->service == service)
        {
            return i;
        }
    }
    return 0;
}

std::uint64_t virtual_flow_fleet::count(flow_event_kind kind) const
{
    std::uint64_t result = 0;
    for (const auto& process : this->entries)
    {
        result += process->events.count_of(kind);
    }
    for (const auto& process : this->companions)
    {
        result += process->events.count_of(kind);
    }
    return result;
}

void virtual_flow_fleet::start_load(
    const std::vector<request_class>& classes, std::chrono::seconds length)
{
    for (const auto& item : classes)
    {
        this->clients.start(item, this->queue.now() + length);
    }
}

void virtual_flow_fleet::at(
    std::chrono::milliseconds time, std::function<void()> work)
{
    this->queue.after(time, std::move(work));
}

void virtual_flow_fleet::run(std::chrono::milliseconds length)
{
    this->queue.run_until(this->queue.now() + length);
}

void virtual_flow_fleet::write_log(
    const std::string& process, const std::string& text)
{
    constexpr std::size_t line_size = 64;
    std::array<char, line_size> time{};
    const auto micros = this->queue.now().time_since_epoch().count();
    constexpr std::int64_t per_second = 1'000'000;
    constexpr std::int64_t per_minute = 60;
    const std::int64_t seconds = micros / per_second;
    std::snprintf(
        time.data(), time.size(), "time=2026-01-01T%02d:%02d:%02d.%06d",
        static_cast<int>(seconds / per_minute / per_minute),
        static_cast<int>(seconds / per_minute % per_minute),
        static_cast<int>(seconds % per_minute),
        static_cast<int>(micros % per_second));
    this->log_text +=
        process + " " + time.data() + " level=info " + text + "\n";
}

// Processes.

void virtual_flow_fleet::add_entry()
{
    auto created = std::make_unique<entry_process>(
        *this, "entry-" + std::to_string(this->entries.size()));
    created->index = this->entries.size();
    created->domain =
        static_cast<std::uint32_t>(created->index) % this->shape.domains;
    const auto number = static_cast<std::uint32_t>(created->index);
    created->id = {endpoint{entry_network + number, control_port}.packed()};
    this->entry_ids[created->id] = created->index;
    this->entries.push_back(std::move(created));
    this->start_entry(this->entries.size() - 1);
}

void virtual_flow_fleet::start_entry(std::size_t index)
{
    entry_process& process = *this->entries[index];
    ++process.incarnation_number;
    process.is_stopping = false;
    process.listed.clear();
    process.last_version = 0;
    process.core = std::make_unique<entry_flow_core>(
        entry_flow_settings{
            domain_name(process.domain), 100'000, 60s, this->shape.placement,
            this->shape.wait_share},
        process, process.events);
    this->queue.after(store_delay, [this, index] { this->sync_store(index); });
    this->tick_entry(index, process.incarnation_number);
}

void virtual_flow_fleet::create_companion(
    const std::string& service, std::uint32_t domain)
{
    auto created = std::make_unique<companion_process>(
        *this, "side-" + std::to_string(this->companions.size()));
    created->index = this->companions.size();
    created->domain = domain;
    created->service = service;
    const auto number = static_cast<std::uint32_t>(created->index);
    created->id = {endpoint{companion_network + number, control_port}.packed()};
    created->packet_address = {companion_network + number, packet_port};
    this->companion_ids[created->id] = created->index;
    this->packet_addresses[created->packet_address] = created->index;
    host_shape host = this->shape.host;
    host.service = service;
    host.failure_domain = domain_name(domain);
    const std::size_t index = created->index;
    created->host = std::make_unique<virtual_host>(
        this->queue, host, "host-" + std::to_string(index),
        [this, index](const virtual_packet& packet)
        { this->deliver_from_host(index, packet); });
    this->companions.push_back(std::move(created));
    this->companions[index]->host->start(false);
    this->start_companion(index);
}

void virtual_flow_fleet::start_companion(std::size_t index)
{
    companion_process& process = *this->companions[index];
    ++process.incarnation_number;
    companion_flow_settings settings;
    settings.name = "side-" + std::to_string(index);
    settings.service = process.service;
    settings.failure_domain = domain_name(process.domain);
    settings.packet_address = process.packet_address;
    settings.status_interval = status_interval;
    settings.process_number = static_cast<std::uint64_t>(
        this->queue.now().time_since_epoch() / std::chrono::microseconds(1));
    process.last_version = 0;
    process.core = std::make_unique<companion_flow_core>(
        settings, process, process.events);
    this->queue.after(
        store_delay, [this, index] { this->register_companion(index); });
    this->tick_companion(index, process.incarnation_number);
    std::uniform_int_distribution<int> phase(0, 1'000);
    const std::uint64_t incarnation_number = process.incarnation_number;
    this->queue.after(
        std::chrono::milliseconds(phase(this->random)),
        [this, index, incarnation_number]
        { this->report_status(index, incarnation_number); });
}

void virtual_flow_fleet::tick_entry(
    std::size_t index, std::uint64_t incarnation_number)
{
    entry_process& process = *this->entries[index];
    if (!process.core || process.incarnation_number != incarnation_number)
    {
        return;
    }
    if (process.frozen_until <= this->queue.now())
    {
        process.core->on_tick(this->queue.now());
        this->check_version(process);
        this->check_policy(index);
    }
    const auto ticks = (this->queue.now().time_since_epoch() / core_tick);
    if (ticks % (readiness_probe_interval / core_tick) == 0)
    {
        const bool ready = process.core->is_ready(this->queue.now()) &&
                           !process.is_stopping &&
                           process.frozen_until <= this->queue.now();
        process.failed_probes = ready ? 0 : process.failed_probes + 1;
        process.in_rotation = process.failed_probes < unready_threshold;
    }
    this->queue.after(
        core_tick, [this, index, incarnation_number]
        { this->tick_entry(index, incarnation_number); });
}

void virtual_flow_fleet::tick_companion(
    std::size_t index, std::uint64_t incarnation_number)
{
    companion_process& process = *this->companions[index];
    if (!process.core || process.incarnation_number != incarnation_number)
    {
        return;
    }
    if (process.frozen_until <= this->queue.now())
    {
        process.core->on_tick(this->queue.now());
        this->check_version(process);
    }
    this->queue.after(
        companion_flow_core::tick_interval, [this, index, incarnation_number]
        { this->tick_companion(index, incarnation_number); });
}

void virtual_flow_fleet::report_status(
    std::size_t index, std::uint64_t incarnation_number)
{
    companion_process& process = *this->companions[index];
    if (process.incarnation_number != incarnation_number)
    {
        return;
    }
    if (process.core && process.host->is_alive())
    {
        const upstream_status status = process.host->next_status();
        this->run_on(
            process,
            [&process, status](time_point now)
            {
                if (process.core &&
                    process.core->on_status(now, status) ==
                        status_outcome::accepted &&
                    status.is_draining &&
                    process.drain_acknowledged == time_point{})
                {
                    process.drain_acknowledged = now;
                }
            });
    }
    this->queue.after(
        status_interval, [this, index, incarnation_number]
        { this->report_status(index, incarnation_number); });
}

bool virtual_flow_fleet::is_policy_everywhere() const
{
    const std::set<std::string>& expected = this->withdrawn;
    const auto has_it = [&](const auto& process)
    {
        if (!process->core)
        {
            return true;
        }
        const configuration& value = process->core->current_policy().value();
        return value.number == this->version &&
               std::set<std::string>(
                   value.withdrawn_domains.begin(),
                   value.withdrawn_domains.end()) == expected;
    };
    return std::all_of(this->entries.begin(), this->entries.end(), has_it) &&
           std::all_of(
               this->companions.begin(), this->companions.end(), has_it);
}

double virtual_flow_fleet::imbalance(const std::string& service) const
{
    double most = 0;
    double total = 0;
    double count = 0;
    for (const auto& process : this->companions)
    {
        if (process->service == service)
        {
            const auto runs = static_cast<double>(process->host->runs.size());
            most = std::max(most, runs);
            total += runs;
            ++count;
        }
    }
    return total > 0 ? most * count / total : 1.0;
}

} // namespace masticslip::standin
