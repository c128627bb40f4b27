#pragma once
/// Common base of the two roles on the layer-4 path: sockets, control messages,
/// policy exchange between peers, timers and metrics.

#include "flow_telemetry.hpp"
#include "masticslip/flow/policy_evidence.hpp"
#include "masticslip/store/key_value_store.hpp"
#include "net/datagram_socket.hpp"
#include "net/http.hpp"
#include "node_clock.hpp"
#include "node_settings.hpp"
#include "packet_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace masticslip
{

/// Prefix of the store keys under which companions are registered.
std::string member_prefix();

/// A process on the layer-4 path, either an entry or a companion. Not
/// thread-safe; runs on one thread.
class flow_node
{
public:
    /// All references must outlive the node.
    flow_node(
        boost::asio::io_context& context,
        node_settings settings,
        const packet_codec& codec,
        key_value_store& store);
    virtual ~flow_node() = default;

    flow_node(const flow_node&) = delete;
    flow_node& operator=(const flow_node&) = delete;

    /// Opens all sockets and starts processing; returns false and a reason on
    /// failure.
    bool start(std::string& reason);

    /// True if traffic may be routed to this process.
    [[nodiscard]] virtual bool is_ready() const = 0;

    /// Begins a graceful stop; stops the context when it is complete.
    virtual void stop() = 0;

    /// Metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics_text();

protected:
    virtual bool open_role(std::string& reason) = 0;
    virtual void on_packet(const endpoint& sender, byte_view datagram) = 0;
    virtual void on_control(
        time_point now, instance_id sender, const flow_message& message) = 0;
    virtual void on_tick(time_point now) = 0;
    [[nodiscard]] virtual std::optional<time_point> next_deadline() const = 0;
    [[nodiscard]] virtual std::chrono::milliseconds tick_interval() const = 0;
    [[nodiscard]] virtual std::shared_ptr<const policy>
    shared_policy() const = 0;
    virtual void apply_policy(
        time_point now,
        std::shared_ptr<const policy> value,
        instance_id source) = 0;
    [[nodiscard]] virtual policy_status
    status_of_policy(time_point now) const = 0;
    virtual void update_gauges(time_point now) = 0;

    void send_control(instance_id to, const flow_message& message);

    void send_reset(const flow_endpoints& flow, std::uint32_t sequence);

    /// Requests a peer's policy unless a request to it, or a recent one to
    /// another peer, is in progress.
    void request_policy(instance_id from);

    /// Counts and logs a policy that cannot be used. `origin` names where it
    /// was read.
    void report_refused_policy(
        const char* origin,
        const std::string& name,
        const failure_reason& reason);

    /// Re-arms the timer; call after anything that may have set a deadline.
    void schedule_tick();

    /// Counts a datagram that could not be decoded and logs it, rate-limited.
    void report_malformed(const char* where, const failure_reason& reason);

    [[nodiscard]] instance_id self() const
    {
        return {this->settings.control_address.packed()};
    }

    boost::asio::io_context& context;
    node_settings settings;
    const packet_codec& codec;
    key_value_store& store;
    flow_telemetry telemetry;
    datagram_socket packet_socket;
    datagram_socket control_socket;

private:
    void refresh_gauges();
    /// Logs all gauges if the log interval has passed.
    void log_gauges(time_point now);
    /// Logs and counts restorations of the store.
    void observe_store_era();
    void on_control_datagram(const endpoint& sender, byte_view datagram);
    boost::asio::awaitable<void> fetch_policy(instance_id from);
    http_response handle_policy_request(const http_request& request);

    http_server policy_server;
    http_server metrics_server;
    boost::asio::steady_timer timer;
    time_point timer_expiry;
    time_point next_tick;
    time_point next_gauge_log;
    time_point last_malformed_log;
    /// Start of each policy request in progress.
    std::map<instance_id, time_point> policy_requests;
    std::optional<std::uint64_t> store_era;
    /// Mark of the policy that was served last, and its document: many peers
    /// fetch the same one.
    policy_mark served_mark;
    std::string served_document;
};

} // namespace masticslip
