#pragma once
/// Discrete-event simulation of a fleet of the layer-4 path: the production
/// cores with simulated routers, hosts, callers and metadata store.
///
///     virtual_flow_fleet fleet(fleet_shape{}, seed);
///     fleet.start_load(classes, 20s);
///     fleet.at(5s, [&] { fleet.kill_entry(0, 1s); });
///     fleet.run(25s);
///     BOOST_TEST(fleet.violations().empty());
///
/// A run is deterministic for a given seed.

#include "masticslip/flow/companion_flow_core.hpp"
#include "masticslip/flow/entry_flow_core.hpp"
#include "promise_checker.hpp"
#include "virtual_callers.hpp"
#include "virtual_host.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace masticslip::standin
{

/// Topology and parameters of a fleet.
struct fleet_shape
{
    struct service
    {
        std::string name;
        std::uint32_t hosts = 7;
        endpoint address;
        request_kind kind = request_kind::safe;
    };

    std::uint32_t domains = 3;
    std::uint32_t entries = 4;
    std::vector<service> services;
    host_shape host;
    double cold_flows_per_second = 0;
    /// Probability that a datagram between instances is lost.
    double loss = 0;
    /// Settings of the entries: the placement rule, and the share of the time
    /// limit for which an opening may wait for capacity.
    std::string placement{default_placement};
    double wait_share = entry_flow_settings{}.wait_share;
    std::chrono::microseconds near_delay{200};
    std::chrono::microseconds far_delay{900};
    std::chrono::microseconds caller_delay{3'000};
    std::chrono::milliseconds restart_time{550};
};

/// A small fleet: two services, ten hosts, four entries.
fleet_shape small_fleet();

/// Classes that load the first service of a small fleet to a fraction `share`
/// of its capacity, and uploads at a fixed rate.
std::vector<request_class> small_load(double share);

/// Not thread-safe.
class virtual_flow_fleet
{
public:
    virtual_flow_fleet(fleet_shape shape, std::uint64_t seed);
    ~virtual_flow_fleet();

    /// Generates requests of the classes for `length` from now on.
    void start_load(
        const std::vector<request_class>& classes, std::chrono::seconds length);

    /// Schedules an action for `time` from now, whenever the load started.
    void at(std::chrono::milliseconds time, std::function<void()> work);

    /// Runs the simulation for `length` from now on.
    void run(std::chrono::milliseconds length);

    // Faults and planned operations.

    /// Terminates the process at once; it is up again after the restart time
    /// plus `down`.
    void kill_entry(std::size_t index, std::chrono::milliseconds down);
    /// Restarts gracefully: reports not ready, keeps forwarding until the
    /// routers have noticed, exits and starts again.
    void stop_entry(std::size_t index);
    void add_entry();
    void kill_companion(std::size_t index, std::chrono::milliseconds down);
    void stop_companion(std::size_t index);
    void freeze_entry(std::size_t index, std::chrono::milliseconds time);
    void freeze_companion(std::size_t index, std::chrono::milliseconds time);
    /// With `bounces`, the machine returns packets that arrive while it is
    /// down.
    void crash_host(
        std::size_t index,
        std::chrono::milliseconds down,
        bool bounces = false);
    /// Drains the host, keeps serving for `time`, then removes the host and its
    /// companion.
    void drain_host(std::size_t index, std::chrono::milliseconds time);
    void add_host(const std::string& service, std::uint32_t domain);
    /// Terminates all processes and hosts at once; they are up again after the
    /// restart time plus `down`.
    void lose_power(std::chrono::milliseconds down);
    void cut_domains(std::uint32_t first, std::uint32_t second);
    void heal_domains();
    /// Drops all messages between a companion and the other instances.
    void cut_companion(std::size_t index, std::chrono::milliseconds time);
    /// Drops all messages between an entry and the other instances.
    void cut_entry(std::size_t index, std::chrono::milliseconds time);
    /// Makes the store unavailable to all instances.
    void stop_store(std::chrono::milliseconds time);
    /// Makes the store unavailable to all instances. Leases run out meanwhile:
    /// companions register again one by one after its return.
    void stop_store_and_end_leases(std::chrono::milliseconds time);
    /// The store ends the lease of this companion and turns it away.
    void turn_away_companion(std::size_t index, std::chrono::milliseconds time);
    /// The store reports no changes for this long; it answers other calls.
    void silence_watches(std::chrono::milliseconds time);
    /// Makes the store unavailable to this entry.
    void turn_away_entry(std::size_t index, std::chrono::milliseconds time);
    /// The store is away for a moment and returns from a copy of `age` ago, in
    /// a new era. Operators write their newest state again `rewrite` after the
    /// return, companions register anew within a second.
    void restore_store_copy(
        std::chrono::milliseconds age, std::chrono::milliseconds rewrite);
    /// Publishes the same contents in a new version.
    void change_version();
    /// Publishes a version in which a route names another service.
    void move_route(const endpoint& target, const std::string& service);
    void withdraw(std::uint32_t domain);
    void restore(std::uint32_t domain);

    [[nodiscard]] const virtual_callers& callers() const
    {
        return this->clients;
    }

    [[nodiscard]] std::size_t host_count() const
    {
        return this->companions.size();
    }

    [[nodiscard]] const virtual_host& host(std::size_t index) const;

    /// Index of the first host of a service.
    [[nodiscard]] std::size_t first_host(const std::string& service) const;

    /// Violated guarantees, each with its time.
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return this->checker.violations();
    }

    /// Requests of the busiest host divided by the mean over the hosts of the
    /// service.
    [[nodiscard]] double imbalance(const std::string& service) const;

    /// Control messages sent so far.
    [[nodiscard]] std::uint64_t control_messages() const
    {
        return this->control_count;
    }

    /// True if all running processes have the operators' newest version and
    /// withdrawals.
    [[nodiscard]] bool is_policy_everywhere() const;

    /// Checks for newer policies that entries have made so far.
    [[nodiscard]] std::uint64_t policy_checks() const
    {
        return this->check_count;
    }

    /// Number of companions that the store lists.
    [[nodiscard]] std::size_t registered_count() const
    {
        return this->registered.size();
    }

    /// Number of flow events of this kind so far.
    [[nodiscard]] std::uint64_t count(flow_event_kind kind) const;

    /// Log output of all processes.
    [[nodiscard]] const std::string& log() const
    {
        return this->log_text;
    }

private:
    struct entry_process;
    struct companion_process;

    void start_entry(std::size_t index);
    /// Ends a stopping companion once it may exit.
    void exit_companion(std::size_t index, std::uint64_t incarnation_number);
    void start_companion(std::size_t index);
    void create_companion(const std::string& service, std::uint32_t domain);
    /// Registers a companion in the store, which is tried again while the store
    /// is not available to it.
    void register_companion(std::size_t index);
    /// The same after a random delay: each companion retries on its own.
    void register_companion_later(std::size_t index);
    void tick_entry(std::size_t index, std::uint64_t incarnation_number);
    void tick_companion(std::size_t index, std::uint64_t incarnation_number);
    void report_status(std::size_t index, std::uint64_t incarnation_number);
    void route_to_entry(const virtual_packet& packet);
    void deliver_to_caller(const virtual_packet& packet);
    void deliver_reset(const flow_endpoints& flow, std::uint32_t sequence);
    void send_control(
        std::uint32_t from_domain,
        instance_id from,
        instance_id to,
        const flow_message& message);
    void send_packet_to_companion(
        std::size_t entry, const endpoint& address, byte_view raw);
    void deliver_to_host(std::size_t index, byte_view raw);
    void deliver_from_host(std::size_t index, const virtual_packet& packet);
    /// Tells a companion whether its host runs.
    void check_presence(std::size_t index);
    void check_opening(std::size_t index, const virtual_packet& packet);
    /// Checks whether a packet of an open flow reaches the host that holds it.
    void check_packet(std::size_t index, const virtual_packet& packet);
    /// Contents of the store.
    struct stored_state
    {
        std::shared_ptr<const policy> document;
        std::set<instance_id> registered;
    };

    void publish_policy();
    void write_document(configuration value);
    void keep_copy();
    void lose_recent_writes(std::chrono::milliseconds age);
    void sync_all_entries();
    void sync_store(std::size_t index);
    /// Asks the store for newer policies if the entry's evidence is too old.
    void check_policy(std::size_t index);
    void fetch(instance_id from, instance_id to);
    [[nodiscard]] bool is_reachable(instance_id from, instance_id to) const;
    [[nodiscard]] duration delay(std::uint32_t from, std::uint32_t to) const;
    [[nodiscard]] bool is_lost();
    [[nodiscard]] std::uint32_t domain_of(instance_id id) const;
    void write_log(const std::string& process, const std::string& text);
    /// Runs `work` on a process: after it resumes if it is frozen, not at all
    /// if it has terminated.
    template <class Process, class Work>
    void run_on(Process& process, Work work);
    /// Reports a violation if the process applied an older version.
    template <class Process>
    void check_version(Process& process);

    fleet_shape shape;
    std::mt19937_64 random;
    event_queue queue;
    virtual_callers clients;
    std::string log_text;
    std::vector<std::unique_ptr<entry_process>> entries;
    std::vector<std::unique_ptr<companion_process>> companions;
    std::map<instance_id, std::size_t> entry_ids;
    std::map<instance_id, std::size_t> companion_ids;
    std::map<endpoint, std::size_t> packet_addresses;
    std::set<instance_id> registered;
    /// Past contents of the store by time.
    std::map<time_point, stored_state> copies;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
    time_point healed_at;
    std::set<std::string> withdrawn;
    /// Services of the routes that operators have changed.
    std::map<endpoint, std::string> moved_routes;
    std::shared_ptr<const policy> current_policy;
    store_position position;
    generation version = 0;
    std::uint64_t control_count = 0;
    std::uint64_t check_count = 0;
    time_point watches_silent_until;
    bool store_up = true;
    promise_checker checker;
};

} // namespace masticslip::standin
