#pragma once
/// Runs masticslip_node processes on loopback with simulated surroundings:
/// store, network fabric, upstreams and callers. Checks the promises during the
/// run by what upstreams and callers observe.
///
///     soak_world world(settings);
///     if (world.start(reason)) { world.run(30s); }
///     for (const auto& text : world.checker().violations()) ...
///
/// The simulated parts run on virtual time that follows the clock. A seed
/// reproduces faults and requests, but not the scheduling of processes.

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

/// Second octet of the loopback addresses, derived from the process id.
std::uint8_t network_of_process();

/// Size and load of a run.
struct soak_settings
{
    /// The masticslip_node program.
    std::string program;
    /// Directory of settings files and logs.
    std::string folder;
    /// Second octet of all addresses, 127.network.x.y. The default depends on
    /// the process id, so that concurrent runs rarely share addresses.
    std::uint8_t network = network_of_process();
    std::uint32_t domains = 3;
    std::uint32_t entries = 3;
    std::uint32_t meetups = 5;
    std::uint32_t papers = 3;
    /// Offered load as a fraction of the capacity of `meetups`.
    double load = 0.2;
    std::uint64_t seed = 1;
};

/// Not thread-safe.
class soak_world
{
public:
    explicit soak_world(soak_settings settings);
    ~soak_world();

    /// Starts all processes and simulated parts. Returns false and sets
    /// `reason` if the entries do not become ready.
    bool start(std::string& reason);

    /// Starts the load; requests are sent until `end` after this call.
    void start_load(std::chrono::seconds end);

    /// Schedules an action for `time` after the start of the load.
    void at(std::chrono::milliseconds time, std::function<void()> work);

    /// Schedules an action for `pause` from now.
    void after(std::chrono::milliseconds pause, std::function<void()> work)
    {
        this->queue.after(pause, std::move(work));
    }

    /// Runs until `until` after the start of the load.
    void run(std::chrono::milliseconds until);

    // Faults. Process indexes number the entries first, then the companions.

    [[nodiscard]] std::size_t process_count() const
    {
        return this->nodes.size();
    }

    [[nodiscard]] std::size_t host_count() const
    {
        return this->hosts.size();
    }

    /// Sends SIGKILL; restarts the process `down` and a fixed delay later.
    void kill_process(std::size_t index, std::chrono::milliseconds down);
    /// Sends SIGTERM; restarts the process `pause` after it has exited.
    void stop_process(std::size_t index, std::chrono::milliseconds pause = {});
    /// Sends SIGHUP.
    void reload_process(std::size_t index);
    /// Sends SIGSTOP, and SIGCONT after `time`.
    void pause_process(std::size_t index, std::chrono::milliseconds time);
    /// Sets the fault mode of the store proxy of one process for `time`.
    void degrade_store_link(
        std::size_t index, proxy_mode mode, std::chrono::milliseconds time);
    /// Makes the store refuse or ignore the connections of a companion for
    /// `time` and ends its lease. A fault of the store, not of the companion's
    /// machine.
    void turn_companion_away(
        std::size_t host, proxy_mode mode, std::chrono::milliseconds time);
    /// Makes the store fail for all processes for `time`. Of overlapping faults
    /// the newest applies.
    void inject_store_fault(
        standin::store_fault fault, std::chrono::milliseconds time);
    /// Compacts the history of the store, which ends watches of old revisions.
    void drop_store_history();
    void expire_store_leases();
    /// The store is away for a moment and returns from a copy of `age` ago.
    /// Operators write their newest state again `rewrite` after its return.
    void restore_store_copy(
        std::chrono::milliseconds age, std::chrono::milliseconds rewrite);
    /// Crashes the upstream; it restarts cold after `down`.
    void
    crash_host(std::size_t index, bool bounces, std::chrono::milliseconds down);
    /// The upstream announces its drain and exits; a cold one replaces it.
    void replace_host(std::size_t index);
    /// Delivers the most recent status a second time, 2.5 s later.
    void resend_status_late(std::size_t index);
    void withdraw(std::uint32_t domain);
    void restore(std::uint32_t domain);
    /// Writes a new configuration with a different time limit.
    void change_configuration();
    /// Another writer writes an entry of the store.
    void write_entry(const std::string& key, const std::string& value);

    /// Log file of a process.
    [[nodiscard]] std::string log_file(std::size_t index) const;

    [[nodiscard]] const standin::promise_checker& checker() const
    {
        return this->promises;
    }

    [[nodiscard]] std::uint64_t seed() const
    {
        return this->settings.seed;
    }

    /// Fraction of the requests sent between two times after the start of the
    /// load that were served.
    [[nodiscard]] double served_share(
        std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// Number of resets of flows that an upstream held, and of those that a
    /// fault of the upstream or its machine excuses.
    [[nodiscard]] std::uint64_t held_flow_resets() const
    {
        return this->reset_count;
    }
    [[nodiscard]] std::uint64_t excused_resets() const
    {
        return this->excused_reset_count;
    }

    /// What would break a promise if the store had been without faults: flows
    /// whose packets go astray.
    [[nodiscard]] const standin::promise_checker& findings() const
    {
        return this->tolerated;
    }

    [[nodiscard]] const standin::virtual_callers& callers() const
    {
        return this->clients;
    }

private:
    struct node_slot;
    struct host_slot;

    /// What the fabric and the checks remember of a caller's flow.
    struct flow_track
    {
        std::size_t entry = 0;
        time_point last_packet;
        /// The flow was idle for longer than its upstream must keep it.
        bool was_idle = false;
    };

    void create_entry(std::uint32_t number);
    void create_companion(const std::string& service, std::uint32_t number);
    node_slot&
    create_node(const std::string& role, standin::machine_settings machine);
    [[nodiscard]] std::uint32_t
    address_of(std::uint8_t group, std::uint32_t number) const;
    void write_configuration();
    /// Writes everything that operators wrote once more.
    void repeat_operator_writes();
    void run_until(time_point end);
    void supervise();
    void probe_entries();
    boost::asio::awaitable<void> probe(std::size_t index);
    /// Accepts connections at the address of an upstream until it crashes.
    void listen(std::size_t index);
    void accept_connections(std::size_t index);
    void report_status(std::size_t index, std::uint64_t incarnation_number);
    boost::asio::awaitable<void>
    send_status(std::size_t index, upstream_status status);
    boost::asio::awaitable<void>
    send_departure(std::size_t index, upstream_incarnation incarnation);
    void start_host(std::size_t index, bool is_cold);
    void route(const standin::virtual_packet& packet);
    void on_host_datagram(std::size_t index, byte_view datagram);
    void on_caller_datagram(const endpoint& sender, byte_view datagram);
    /// The entry that receives a packet, as the network fabric chooses it.
    [[nodiscard]] std::size_t choose_entry(const flow_endpoints& flow) const;
    void check_reset(const endpoint& sender, const flow_endpoints& flow);
    /// Sets the mode of a process's proxy until all its faults have ended.
    void
    set_link_mode(std::size_t node, proxy_mode mode, std::chrono::milliseconds);
    void check_execution(std::uint64_t request);
    /// Checks that packets of an open flow reach the upstream that holds it.
    void check_receiver(std::size_t index, const flow_endpoints& flow);
    /// Records a fault of a process, its machine or its links.
    void disturb(std::size_t node, duration time);
    /// Records any fault of the store.
    void disturb_store(duration time);
    /// Restarts the deadlines of withdrawn domains: a fault delays the time at
    /// which processes learn of a withdrawal.
    void postpone_withdrawals(duration time);
    [[nodiscard]] bool is_disturbed(std::size_t node) const;

    soak_settings settings;
    boost::asio::io_context context{1};
    standin::event_queue queue;
    standin::promise_checker promises;
    standin::promise_checker tolerated{{}, {}};
    standin::virtual_callers clients;
    standin::store_server store;
    datagram_socket fabric;
    datagram_socket caller_socket;
    std::vector<std::unique_ptr<node_slot>> nodes;
    std::vector<std::unique_ptr<host_slot>> hosts;
    std::map<std::uint32_t, std::size_t> node_by_address;
    std::set<std::string> withdrawn;
    std::map<flow_endpoints, flow_track> tracks;
    time_point store_fault_until;
    /// Times at which faults that delay all its clients, and all its faults,
    /// have no effect any more.
    time_point store_degraded_until;
    time_point store_disturbed_until;
    std::chrono::steady_clock::time_point began;
    time_point load_start;
    std::uint64_t version = 0;
    /// Newest configuration document.
    std::string configuration;
    std::map<std::uint64_t, int> execution_counts;
    std::uint64_t reset_count = 0;
    std::uint64_t excused_reset_count = 0;
};

} // namespace masticslip::soak
