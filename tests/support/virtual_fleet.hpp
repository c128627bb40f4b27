#pragma once
/// Simulation of entry and companion cores connected by faulty links under
/// virtual time, with fake upstreams and callers. All randomness comes from
/// one seed, so a run is reproducible.
///
///     virtual_fleet fleet({.companions = 3, .seed = 7});
///     fleet.run_for(2s);
///     fleet.post(0);
///     fleet.run_for(60s);
///     BOOST_TEST(fleet.violations().empty());

#include "libcoap_codec.hpp"
#include "masticslip/core/companion_core.hpp"
#include "masticslip/core/entry_core.hpp"
#include "masticslip/wire/message_codec.hpp"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticslip::testing
{

/// Faults of all links between instances and to callers.
struct link_faults
{
    double loss = 0;
    double duplication = 0;
    duration shortest_delay = std::chrono::microseconds(200);
    duration longest_delay = std::chrono::microseconds(800);
};

/// Topology, timing and faults of a virtual fleet.
struct virtual_options
{
    std::size_t entries = 2;
    std::size_t companions = 3;
    std::size_t callers = 4;
    std::size_t failure_domains = 3;
    std::uint64_t seed = 1;
    link_faults faults;
    duration service_time = std::chrono::milliseconds(20);
    duration upstream_cold_time{};
    std::uint32_t upstream_slots = 5;
    limit_policy policy = limit_policy::aimd;
    std::uint32_t choice_width = 3;
    service_protocol protocol = service_protocol::coap;
    /// Modifies the settings of each companion before it starts.
    std::function<void(companion_settings&)> adjust_settings;
};

/// Outcome of a request as seen by the caller.
enum class request_outcome : std::uint8_t
{
    pending,
    done,
    not_run,
    unknown,
    no_answer
};

/// A request of a caller and what became of it.
struct request_record
{
    std::size_t caller = 0;
    request_outcome outcome = request_outcome::pending;
    std::string response_text;
    std::uint32_t executions = 0;
    /// Number of times that this request reached an upstream.
    std::uint32_t deliveries = 0;
    time_point started;
    time_point ended;
    std::uint32_t retry_after = 0;
    bool idempotent = false;
};

/// State of a caller's watch (CoAP observation).
struct watch_state
{
    bool established = false;
    std::uint64_t notifications = 0;
    /// Notifications whose Observe value did not increase.
    std::uint64_t stale = 0;
    std::uint32_t last_observe = 0;
    time_point last_notification;
    duration longest_gap{};
    bool ended = false;
    std::string end_reason;
};

/// A fake upstream beside a companion.
struct fake_upstream
{
    struct active_request
    {
        coap_message request;
        bool running = false;
        time_point ends;
        time_point deadline;
    };

    std::uint64_t epoch = 1;
    std::string service;
    bool alive = true;
    bool draining = false;
    bool silent = false;
    /// Answers every request with 5.03 and does not run it.
    bool refuses = false;
    time_point cold_until;
    std::map<bytes, active_request> active_requests;
    std::map<bytes, coap_message> observers;
    /// Highest number of requests in progress, overall and during cold starts.
    std::uint32_t peak = 0;
    std::uint32_t peak_cold = 0;
    std::uint32_t collapses = 0;
    std::uint64_t completed = 0;
    std::uint64_t packets = 0;
    std::uint64_t foreign_packets = 0;
    time_point last_packet;
    /// Integral of the number of requests in progress over time, in
    /// microseconds.
    double busy_time = 0;
};

/// Not thread-safe.
class virtual_fleet
{
public:
    explicit virtual_fleet(virtual_options options);
    ~virtual_fleet();

    /// Advances virtual time.
    void run_for(duration span);

    [[nodiscard]] time_point now() const
    {
        return this->clock;
    }

    /// Edits the configuration and offers its next generation to one entry.
    void change(
        const std::function<void(configuration&)>& edit, std::size_t entry = 0);

    [[nodiscard]] const configuration& config() const
    {
        return this->document;
    }

    void kill_entry(std::size_t index);
    void start_entry(std::size_t index);
    void freeze_entry(std::size_t index, duration span);
    void kill_companion(std::size_t index);
    void start_companion(std::size_t index);
    void freeze_companion(std::size_t index, duration span);
    void drain_companion(std::size_t index);
    std::size_t add_companion(std::size_t domain);
    void restart_upstream(std::size_t index);
    void set_faults(const link_faults& faults);

    /// Cuts or restores the link between two instances, in both directions.
    void set_partition(instance_id first, instance_id second, bool partitioned);

    /// Starts a non-idempotent request; returns its index in
    /// requests().
    std::size_t post(std::size_t caller);

    /// Starts an idempotent request; returns its index in
    /// requests().
    std::size_t get(std::size_t caller);

    /// Passes a datagram of a caller to one entry unchanged, without link
    /// faults.
    void inject(std::size_t caller, std::size_t entry, const bytes& datagram);

    void watch(std::size_t caller);
    /// Changes the observed resource; every upstream notifies its observers.
    void publish();

    [[nodiscard]] const std::vector<request_record>& requests() const
    {
        return this->request_records;
    }

    [[nodiscard]] const watch_state& watch_of(std::size_t caller) const;

    [[nodiscard]] fake_upstream& upstream(std::size_t index);
    [[nodiscard]] companion_core* companion(std::size_t index);
    [[nodiscard]] entry_core* entry(std::size_t index);
    [[nodiscard]] instance_id companion_id(std::size_t index) const;
    [[nodiscard]] instance_id entry_id(std::size_t index) const;
    [[nodiscard]] std::size_t companion_count() const
    {
        return this->companions.size();
    }

    /// Requests that broke at-most-once execution or whose outcome contradicts
    /// their executions, one line each.
    [[nodiscard]] std::vector<std::string> violations() const;

    [[nodiscard]] std::size_t count(request_outcome outcome) const;

    /// Events reported by all cores.
    [[nodiscard]] std::uint64_t events(event_kind kind) const;
    /// Number of these events that were reported with time zero.
    [[nodiscard]] std::uint64_t undated_events(event_kind kind) const;

    /// Packets that entries refused without forwarding them.
    [[nodiscard]] std::uint64_t entry_refusals() const;

    /// Last Echo value that a caller received.
    [[nodiscard]] const bytes& echo_of(std::size_t caller) const;

    /// Source endpoint of a caller's packets.
    [[nodiscard]] endpoint caller_address(std::size_t index) const;

    /// Called with each datagram that a caller receives.
    std::function<void(std::size_t caller, const coap_message&)> on_delivery;

private:
    struct entry_node;
    struct companion_node;
    struct caller_node;
    struct pending_event
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const pending_event& other) const
        {
            return std::tie(this->when, this->order) >
                   std::tie(other.when, other.order);
        }
    };
    class counting_sink;

    void schedule(time_point when, std::function<void()> run);
    void transmit(
        instance_id from, instance_id to, const std::function<void()>& deliver);
    void send_internal(instance_id from, instance_id to, byte_view datagram);
    void deliver_internal(instance_id to, const bytes& datagram);
    void tick_all();
    void upstream_receive(companion_node& node, const coap_message& message);
    void upstream_tick(companion_node& node);
    void upstream_execute(companion_node& node, const coap_message& request);
    void upstream_answer(
        companion_node& node,
        const coap_message& request,
        coap_code code,
        const std::string& text,
        bool observe);
    void caller_send(caller_node& caller, const bytes& token);
    void caller_receive(std::size_t index, const bytes& datagram);
    void caller_tick(std::size_t index);
    void finish_request(
        caller_node& caller, const bytes& token, const coap_message* answer);
    std::size_t start_request(std::size_t caller, coap_code code);
    bytes next_token();

    virtual_options options;
    std::mt19937_64 random;
    time_point clock;
    std::uint64_t next_order = 0;
    std::uint64_t next_incarnation = 1;
    std::uint32_t next_token_value = 1;
    std::vector<pending_event> queue;
    configuration document;
    libcoap_codec codec;
    std::unique_ptr<counting_sink> sink;
    std::vector<std::unique_ptr<entry_node>> entries;
    std::vector<std::unique_ptr<companion_node>> companions;
    std::vector<std::unique_ptr<caller_node>> callers;
    std::vector<request_record> request_records;
    std::set<std::pair<instance_id, instance_id>> partitions;
    std::uint32_t board_version = 1;
};

/// Name of the service that all fake upstreams provide.
constexpr const char* virtual_service = "meetups";

} // namespace masticslip::testing
