#pragma once
/// Sans-I/O core of an entry: routes callers' packets and exchanges membership
/// and configuration with peers. Uses no sockets, clocks, threads or random
/// devices.
///
///     entry_core core(settings, output, events);
///     core.offer_configuration(now, document, reason);
///     core.on_caller_packet(now, flow, payload, {});
///     core.on_tick(now);   // every tick_interval
///
/// Call all methods from one thread, with non-decreasing times. Correctness
/// does not depend on the state that an entry keeps.

#include "masticslip/core/configuration.hpp"
#include "masticslip/core/detail/config_controller.hpp"
#include "masticslip/core/detail/freeze_detector.hpp"
#include "masticslip/core/detail/heartbeat_controller.hpp"
#include "masticslip/core/detail/membership_controller.hpp"
#include "masticslip/core/event_sink.hpp"
#include "masticslip/core/flow_cache.hpp"
#include "masticslip/core/internal_output.hpp"
#include "masticslip/core/rendezvous.hpp"

#include <chrono>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace masticslip
{

/// Interval at which the driver calls `on_tick` of both cores.
constexpr duration tick_interval = std::chrono::milliseconds(10);

struct entry_settings
{
    instance_id self;
    incarnation incarnation_number;
    endpoint admin;
    std::string name;
    std::string failure_domain;
    std::vector<instance_id> seeds;
    std::size_t cache_capacity = 400'000;
    std::uint64_t random_seed = 1;
};

/// Output of an entry in addition to internal messages.
class entry_output : public internal_output
{
public:
    /// Sends a packet to a caller from the service's address.
    virtual void send_to_caller(const flow_key& flow, byte_view payload) = 0;

    /// Rejects a caller's packet that cannot be forwarded. The caller should
    /// retry after `retry_after`.
    virtual void refuse_caller(
        const flow_key& flow,
        byte_view payload,
        result_code code,
        std::chrono::seconds retry_after) = 0;

    /// Called when services or their addresses may have changed.
    virtual void on_configuration(const configuration& value) = 0;
};

/// Packets that this node sent to one failure domain.
struct domain_traffic
{
    time_point last_packet;
    std::uint64_t packets = 0;
};

/// Not thread-safe.
class entry_core
{
public:
    /// The output and sink must outlive the core.
    entry_core(
        entry_settings settings, entry_output& output, event_sink& events);

    /// Forwards a caller's packet. Does not allocate if the flow's owner is
    /// cached.
    void on_caller_packet(
        time_point now,
        const flow_key& flow,
        byte_view payload,
        const trace_context& trace);

    /// Handles an internal message. Precondition: it was authenticated.
    void on_message(
        time_point now,
        const message_header& header,
        const internal_message& message);

    /// Runs the timers that are due.
    void on_tick(time_point now);

    /// Applies a document if it is valid and newer than the one in force.
    bool offer_configuration(
        time_point now, std::string_view document, failure_reason& reason);

    /// Starts a graceful shutdown; packets are still forwarded.
    void start_drain(time_point now);

    [[nodiscard]] const detail::config_controller& config() const
    {
        return this->configs;
    }

    [[nodiscard]] const member_table& members() const
    {
        return this->membership.table();
    }

    /// Direct observations of other instances, by id.
    [[nodiscard]] const std::unordered_map<instance_id, detail::observation>&
    direct_observations() const
    {
        return this->membership.direct_observations();
    }

    [[nodiscard]] const flow_cache& cache() const
    {
        return this->owners;
    }

    [[nodiscard]] const member_record& self() const
    {
        return this->heartbeats.self();
    }

    /// Packets sent to each failure domain, by name.
    [[nodiscard]] const std::map<std::string, domain_traffic>&
    traffic_by_domain() const
    {
        return this->domain_packets;
    }

    /// True if this entry is one of those selected to watch the store.
    [[nodiscard]] bool is_store_watcher() const;

private:
    /// Candidates of a service, cached until the members or the configuration
    /// change.
    struct service_view
    {
        std::uint64_t revision = 0;
        generation number = 0;
        std::vector<weighted_instance> serving;
        /// Companions that are not serving or have weight zero; ranked after
        /// the others. Companions of withdrawn failure domains are in neither.
        std::vector<weighted_instance> fallback;
    };

    /// Routing data of one companion for the packet path.
    struct companion_route
    {
        bool usable = false;
        domain_traffic* traffic = nullptr;
    };

    struct pending_packet
    {
        forward_message message;
        bytes payload;
        std::size_t next_candidate = 1;
        time_point retry_at;
    };

    /// Records that this node is active at `now`, joins if it has not, and
    /// sends heartbeats if it was suspended. Returns true if its state is
    /// current.
    bool update_readiness(time_point now);
    bool is_usable_owner(instance_id owner);
    bool is_withdrawn(const member_record& record) const;
    const service_view& view_of(service_id service);
    /// Rebuilds the routes if the members or the configuration changed.
    void refresh_routes();
    candidate_list candidates_for(const flow_key& flow);
    void
    send_look_up(time_point now, forward_message& message, byte_view payload);
    void send_forward(
        time_point now, instance_id to, const forward_message& message);
    void retry_pending(time_point now);
    void handle_reply(
        time_point now,
        const message_header& header,
        const reply_message& message);
    void drop(time_point now, const flow_key& flow, result_code code);
    void on_configuration_changed();

    entry_settings settings;
    entry_output& output;
    event_sink& events;
    detail::config_controller configs;
    detail::heartbeat_controller heartbeats;
    detail::membership_controller membership;
    detail::freeze_detector freeze;
    flow_cache owners;
    std::unordered_map<service_id, service_view> views;
    std::unordered_map<instance_id, companion_route> routes;
    std::unordered_set<service_id> known_services;
    std::uint64_t routes_revision = 0;
    generation routes_generation = 0;
    std::map<std::uint32_t, pending_packet> pending;
    std::map<std::string, domain_traffic> domain_packets;
    std::uint32_t next_sequence = 1;
    bool has_joined = false;
};

} // namespace masticslip
