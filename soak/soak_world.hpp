#pragma once
/// Real processes of masticslip on loopback, among stand-ins for everything
/// around them: store, fabric, upstreams and callers. Checks the promises while
/// it runs, from what upstreams and callers see.
///
///     soak_world world(settings);
///     if (world.start(reason)) { world.run(30s); }
///     for (const auto& text : world.checker().violations()) ...
///
/// The stand-ins run on virtual times that follow the clock, so a seed gives
/// the same faults and requests, but not the same schedule of processes.

#include "fault_proxy.hpp"
#include "flow/promise_checker.hpp"
#include "flow/virtual_callers.hpp"
#include "flow/virtual_host.hpp"
#include "net/datagram_socket.hpp"
#include "node_process.hpp"
#include "platform/platform_texts.hpp"
#include "platform/store_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace masticslip::soak
{

/// A second part of loopback addresses for this process.
std::uint8_t network_of_process();

/// Size and load of a run.
struct soak_settings
{
    /// The masticslip_node program.
    std::string program;
    /// Takes settings files and logs.
    std::string folder;
    /// Second part of all addresses: 127.network.x.y. By default it depends on
    /// the process, so that runs beside each other do not meet.
    std::uint8_t network = network_of_process();
    std::uint32_t domains = 3;
    std::uint32_t entries = 3;
    std::uint32_t meetups = 5;
    std::uint32_t papers = 3;
    /// Offered load as a share of the slots of meetups.
    double load = 0.2;
    std::uint64_t seed = 1;
};

/// Not thread-safe.
class soak_world
{
public:
    explicit soak_world(soak_settings settings);
    ~soak_world();

    /// Starts everything; false and a reason if it does not become ready.
    bool start(std::string& reason);

    /// Starts the load; requests are sent until `end`.
    void start_load(std::chrono::seconds end);

    /// Runs an action at a time after the start of the load.
    void at(std::chrono::milliseconds time, std::function<void()> work);

    /// Runs an action after a pause.
    void after(std::chrono::milliseconds pause, std::function<void()> work)
    {
        this->queue.after(pause, std::move(work));
    }

    /// Runs up to a time after the start of the load.
    void run(std::chrono::milliseconds until);

    // Faults. Entries come first among the processes.

    [[nodiscard]] std::size_t process_count() const
    {
        return this->nodes.size();
    }

    [[nodiscard]] std::size_t host_count() const
    {
        return this->hosts.size();
    }

    /// SIGKILL; starts again after `down`.
    void kill_process(std::size_t index, std::chrono::milliseconds down);
    /// SIGTERM; starts again once it has ended.
    void stop_process(std::size_t index);
    /// SIGHUP.
    void reload_process(std::size_t index);
    /// SIGSTOP, and SIGCONT after `time`.
    void pause_process(std::size_t index, std::chrono::milliseconds time);
    /// Harms the connections of one process to the store.
    void harm_store_link(
        std::size_t index, proxy_mode mode, std::chrono::milliseconds time);
    /// Harms the store for all.
    void harm_store(standin::store_fault fault, std::chrono::milliseconds time);
    void drop_store_history();
    void end_store_leases();
    /// The upstream ends and returns cold.
    void
    crash_host(std::size_t index, bool bounces, std::chrono::milliseconds down);
    /// The upstream says that it leaves, ends, and a new one takes its place.
    void replace_host(std::size_t index);
    /// A status that was sent before arrives late.
    void repeat_old_status(std::size_t index);
    void withdraw(std::uint32_t domain);
    void restore(std::uint32_t domain);
    /// A new configuration with other time limits.
    void change_configuration();

    [[nodiscard]] const standin::promise_checker& checker() const
    {
        return this->promises;
    }

    /// Share of the requests sent between two times that were served.
    [[nodiscard]] double served_share(
        std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    [[nodiscard]] const standin::virtual_callers& callers() const
    {
        return this->clients;
    }

private:
    struct node_slot;
    struct host_slot;

    void create_entry(std::uint32_t number);
    void create_companion(const std::string& service, std::uint32_t number);
    node_slot&
    create_node(const std::string& role, standin::machine_settings machine);
    [[nodiscard]] std::uint32_t
    address_of(std::uint8_t group, std::uint32_t number) const;
    void write_configuration();
    void run_until(time_point end);
    void supervise();
    void probe_entries();
    boost::asio::awaitable<void> probe(std::size_t index);
    void beat(std::size_t index, std::uint64_t life);
    boost::asio::awaitable<void>
    send_status(std::size_t index, upstream_status status);
    boost::asio::awaitable<void>
    send_departure(std::size_t index, upstream_incarnation incarnation);
    void start_host(std::size_t index, bool is_cold);
    void route(const standin::virtual_packet& packet);
    void on_host_datagram(std::size_t index, byte_view datagram);
    void on_caller_datagram(const endpoint& sender, byte_view datagram);
    void check_reset(const endpoint& sender, const flow_ends& flow);
    void check_run(std::uint64_t request);
    void disturb(std::size_t node, duration time);
    /// Bounds of withdrawn domains begin anew after an unplanned fault.
    void postpone_withdrawals(duration time);
    [[nodiscard]] bool is_disturbed(std::size_t node) const;

    soak_settings settings;
    boost::asio::io_context context{1};
    standin::event_queue queue;
    standin::promise_checker promises;
    standin::virtual_callers clients;
    standin::store_server store;
    datagram_socket fabric;
    datagram_socket caller_side;
    std::vector<std::unique_ptr<node_slot>> nodes;
    std::vector<std::unique_ptr<host_slot>> hosts;
    std::map<std::uint32_t, std::size_t> node_by_address;
    std::set<std::string> withdrawn;
    time_point store_harmed_until;
    std::chrono::steady_clock::time_point began;
    time_point load_start;
    std::uint64_t version = 0;
    std::map<std::uint64_t, int> runs;
};

} // namespace masticslip::soak
