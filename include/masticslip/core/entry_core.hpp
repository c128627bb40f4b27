#pragma once
/// Decisions of an entry: where a caller's packet goes, and what an entry
/// tells its peers. No sockets, clocks, threads or random devices.
///
///     entry_core core(settings, output, events);
///     core.offer_configuration(now, document, reason);
///     core.on_caller_packet(now, flow, payload, {});
///     core.on_tick(now);   // every tick_interval
///
/// Caveats: call all methods from one thread with times that never go back.
/// An entry keeps no state that correctness depends on.

#include "masticslip/core/configuration.hpp"
#include "masticslip/core/detail/config_controller.hpp"
#include "masticslip/core/detail/freeze_guard.hpp"
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

/// Settings of one entry.
struct entry_settings
{
    instance_id self;
    incarnation life;
    endpoint admin;
    std::string name;
    std::string failure_domain;
    std::vector<instance_id> seeds;
    std::size_t cache_capacity = 400'000;
    std::uint64_t random_seed = 1;
};

/// What an entry sends besides internal messages.
class entry_output : public internal_output
{
public:
    /// Sends a packet to a caller from the service's address.
    virtual void send_to_caller(const flow_key& flow, byte_view payload) = 0;

    /// Answers a caller's packet that cannot be forwarded. `retry_after` is
    /// when the caller should come back.
    virtual void refuse_caller(
        const flow_key& flow,
        byte_view payload,
        result_code code,
        std::chrono::seconds retry_after) = 0;

    /// Tells that services or their addresses may have changed.
    virtual void on_configuration(const configuration& value) = 0;
};

/// Last packet that this node sent to a failure domain.
struct domain_evidence
{
    time_point last_packet;
    std::uint64_t packets = 0;
};

/// The core of an entry. Not thread-safe.
class entry_core
{
public:
    /// The output and sink must outlive the core.
    entry_core(
        entry_settings settings, entry_output& output, event_sink& events);

    /// Forwards one packet of a caller. Does not allocate if the flow is
    /// cached.
    void on_caller_packet(
        time_point now,
        const flow_key& flow,
        byte_view payload,
        const trace_context& trace);

    /// Takes one authentic internal message.
    void on_message(
        time_point now,
        const message_header& header,
        const internal_message& message);

    /// Does what is due.
    void on_tick(time_point now);

    /// Puts a document in force if it is valid and newer.
    bool offer_configuration(
        time_point now, std::string_view document, failure_reason& reason);

    /// Starts a graceful stop; packets are still forwarded.
    void start_drain(time_point now);

    [[nodiscard]] const detail::config_controller& config() const
    {
        return this->configs;
    }

    [[nodiscard]] const member_table& members() const
    {
        return this->membership.table();
    }

    /// What this entry heard itself from the instances it watches.
    [[nodiscard]] const std::unordered_map<instance_id, detail::observation>&
    heard() const
    {
        return this->membership.heard();
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
    [[nodiscard]] const std::map<std::string, domain_evidence>& evidence() const
    {
        return this->domain_packets;
    }

    /// True if this entry is among the few that watch the store.
    [[nodiscard]] bool is_store_watcher() const;

private:
    struct service_view
    {
        std::uint64_t revision = 0;
        generation number = 0;
        std::vector<weighted_instance> serving;
        std::vector<weighted_instance> others;
    };

    /// What the packet path needs to know of one companion.
    struct companion_route
    {
        bool usable = false;
        domain_evidence* evidence = nullptr;
    };

    struct pending_packet
    {
        forward_message message;
        bytes payload;
        std::size_t next_candidate = 1;
        time_point retry_at;
    };

    bool may_act(time_point now);
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
    detail::freeze_guard freeze;
    flow_cache owners;
    std::unordered_map<service_id, service_view> views;
    std::unordered_map<instance_id, companion_route> routes;
    std::unordered_set<service_id> known_services;
    std::uint64_t routes_revision = 0;
    generation routes_generation = 0;
    std::map<std::uint32_t, pending_packet> pending;
    std::map<std::string, domain_evidence> domain_packets;
    std::uint32_t next_sequence = 1;
    bool has_joined = false;
};

} // namespace masticslip
