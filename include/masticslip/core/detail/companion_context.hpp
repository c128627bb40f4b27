#pragma once
/// What the controllers of a companion share.

#include "masticslip/core/admission_limit.hpp"
#include "masticslip/core/coap_codec.hpp"
#include "masticslip/core/detail/config_controller.hpp"
#include "masticslip/core/detail/freeze_guard.hpp"
#include "masticslip/core/detail/heartbeat_controller.hpp"
#include "masticslip/core/echo_token.hpp"
#include "masticslip/core/event_sink.hpp"
#include "masticslip/core/internal_output.hpp"
#include "masticslip/core/retry_budget.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticslip
{

/// Settings of one companion.
struct companion_settings
{
    instance_id self;
    incarnation life;
    endpoint admin;
    std::string name;
    std::string failure_domain;
    /// Service that the upstream must announce.
    std::string service;
    std::vector<instance_id> seeds;
    /// The first signs Echo values; any verifies them.
    std::vector<shared_key> keys;
    limit_policy policy = limit_policy::aimd;
    /// Longest time that a request may take.
    duration request_deadline = std::chrono::seconds(10);
    /// Age up to which an Echo value admits a request.
    duration echo_fresh = std::chrono::seconds(60);
    /// How long records are kept after a request ended. Must be more than
    /// echo_fresh + request_deadline.
    duration record_window = std::chrono::seconds(300);
    std::size_t record_capacity = 65'536;
    /// How long a flow without watches or requests is remembered.
    duration flow_idle_limit = std::chrono::minutes(10);
};

/// Condition of the upstream as it announces itself.
struct upstream_announcement
{
    std::string service;
    /// Changes with each start of the upstream.
    std::uint64_t epoch = 0;
    bool draining = false;
};

/// Reads `{"service": ..., "epoch": ..., "draining": ...}`; nullopt if the text
/// has another form. Thread-safe.
std::optional<upstream_announcement> parse_announcement(byte_view payload);

/// What a companion sends besides internal messages.
class companion_output : public internal_output
{
public:
    /// Sends a CoAP datagram to the upstream.
    virtual void send_to_upstream(byte_view datagram) = 0;

    /// Sends a caller's datagram to the upstream from a local port that
    /// belongs to this flow alone.
    virtual void
    send_datagram_to_upstream(const flow_key& flow, byte_view datagram) = 0;

    /// Releases the local port of a flow, if it has one.
    virtual void close_datagram_flow(const flow_key& flow) = 0;
};

namespace detail
{

/// State shared by the controllers of one companion. Not thread-safe.
struct companion_context
{
    companion_context(
        companion_settings settings,
        companion_output& output,
        event_sink& events,
        const coap_codec& codec);

    companion_settings settings;
    companion_output& output;
    event_sink& events;
    const coap_codec& codec;
    config_controller configs;
    heartbeat_controller heartbeats;
    freeze_guard freeze;
    echo_issuer issuer;
    std::unique_ptr<admission_limit> limit;
    retry_budget retries;
    service_id service;
    /// Requests that the upstream has and that have not ended.
    std::uint32_t in_flight = 0;
    upstream_announcement upstream;
    bool upstream_present = false;
    bool stopping = false;
    /// Newest incarnation heard of each sibling.
    std::unordered_map<instance_id, incarnation> peer_lives;

    /// True if operators have taken this failure domain out.
    [[nodiscard]] bool is_withdrawn() const;

    /// True if new work may be given to the upstream.
    [[nodiscard]] bool takes_new_work() const;

    /// True if one more request is below the limit.
    [[nodiscard]] bool admits() const;

    /// Best sibling for a flow other than `except`, with its incarnation.
    [[nodiscard]] std::optional<instance_life>
    sibling_for(const flow_key& flow, instance_id except) const;

    /// Entry for packets to a caller: `preferred` while it is known to live.
    [[nodiscard]] instance_id live_entry(
        const flow_key& flow, instance_id preferred, std::size_t attempt) const;

    /// Seconds after which a refused caller should come back; spread by flow
    /// and time so that callers do not return together.
    [[nodiscard]] std::uint32_t
    retry_after(time_point now, const flow_key& flow) const;

    /// Encodes and sends a message to a caller.
    void send_to_caller(
        instance_id entry,
        const flow_key& flow,
        const trace_context& trace,
        bool from_owner,
        const coap_message& message);

    /// Reports an event about a flow.
    void report(
        time_point now,
        event_kind kind,
        const flow_key& flow,
        result_code code = result_code::done,
        instance_id peer = {});
};

} // namespace detail
} // namespace masticslip
