#pragma once
/// Settings, output and state shared by the controllers of a companion.

#include "masticslip/core/admission_limit.hpp"
#include "masticslip/core/coap_codec.hpp"
#include "masticslip/core/detail/config_controller.hpp"
#include "masticslip/core/detail/freeze_detector.hpp"
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

struct companion_settings
{
    instance_id self;
    incarnation incarnation_number;
    endpoint admin;
    std::string name;
    std::string failure_domain;
    /// Service that the upstream must announce.
    std::string service;
    std::vector<instance_id> seeds;
    /// The first key issues Echo values; all keys verify them.
    std::vector<shared_key> keys;
    limit_policy policy = limit_policy::aimd;
    /// Upper bound of the deadline of a request.
    duration request_deadline = std::chrono::seconds(10);
    /// Maximum age of an Echo value that admits a request.
    duration echo_max_age = std::chrono::seconds(60);
    /// Time for which records are kept after a request has completed. Must be
    /// more than echo_max_age + request_deadline.
    duration record_window = std::chrono::seconds(300);
    std::size_t record_capacity = 65'536;
    /// Time after which a flow without watches or requests is removed.
    duration flow_idle_limit = std::chrono::minutes(10);
};

/// State announced by the upstream.
struct upstream_announcement
{
    std::string service;
    /// Changes each time the upstream starts.
    std::uint64_t epoch = 0;
    bool draining = false;
};

/// Parses `{"service": ..., "epoch": ..., "draining": ...}`. Returns nullopt if
/// the text has another form. Thread-safe.
std::optional<upstream_announcement> parse_announcement(byte_view payload);

/// Output of a companion: internal messages and packets to the upstream.
class companion_output : public internal_output
{
public:
    /// Sends a CoAP datagram to the upstream.
    virtual void send_to_upstream(byte_view datagram) = 0;

    /// Sends a caller's datagram to the upstream from a local port used only
    /// by this flow.
    virtual void
    send_datagram_to_upstream(const flow_key& flow, byte_view datagram) = 0;

    /// Releases the local port of the flow, if any.
    virtual void close_datagram_flow(const flow_key& flow) = 0;
};

namespace detail
{

/// Not thread-safe.
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
    freeze_detector freeze;
    echo_issuer issuer;
    std::unique_ptr<admission_limit> limit;
    retry_budget retries;
    service_id service;
    /// Requests sent to the upstream that have not completed.
    std::uint32_t in_flight = 0;
    upstream_announcement upstream;
    bool upstream_present = false;
    bool stopping = false;
    /// Newest incarnation seen in a message from each peer.
    std::unordered_map<instance_id, incarnation> peer_incarnations;

    /// True if operators have withdrawn this failure domain.
    [[nodiscard]] bool is_withdrawn() const;

    /// True if new work may be sent to the upstream.
    [[nodiscard]] bool accepts_new_work() const;

    /// True if new work is accepted and the concurrency limit is not reached.
    [[nodiscard]] bool admits() const;

    /// Returns the highest-ranked sibling for a flow other than `except`, with
    /// its newest known incarnation, or nullopt if there is none.
    [[nodiscard]] std::optional<instance_incarnation>
    select_sibling(const flow_key& flow, instance_id except) const;

    /// Returns the entry for packets to a caller: `preferred` if this is
    /// attempt 0 and it is alive, else one selected by flow and attempt.
    [[nodiscard]] instance_id select_live_entry(
        const flow_key& flow, instance_id preferred, std::size_t attempt) const;

    /// Returns the seconds after which a refused caller should retry, spread
    /// by flow and time so that callers do not retry simultaneously.
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
