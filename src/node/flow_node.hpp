#pragma once
/// What both roles of the layer-4 path share: sockets, control messages,
/// policy exchange between peers, ticks, stop.

#include "flow_telemetry.hpp"
#include "masticslip/flow/policy.hpp"
#include "masticslip/store/key_value_store.hpp"
#include "net/datagram_socket.hpp"
#include "net/http.hpp"
#include "node_clock.hpp"
#include "node_settings.hpp"
#include "packet_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace masticslip
{

/// Prefix of the keys under which companions are listed.
std::string member_prefix();

/// A role on the layer-4 path. Not thread-safe; runs on one thread.
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

    /// Opens all sockets and starts to work; false and a reason on failure.
    bool start(std::string& reason);

    /// True if the node should be given work.
    [[nodiscard]] virtual bool is_ready() const = 0;

    /// Begins a graceful stop; the context's run ends when it is done.
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
    virtual void
    take_policy(time_point now, std::shared_ptr<const policy> value) = 0;
    virtual void update_gauges(time_point now) = 0;

    /// Sends a control message.
    void send_control(instance_id to, const flow_message& message);

    /// Sends a reset to a caller.
    void send_reset(const flow_ends& flow, std::uint32_t sequence);

    /// Asks a peer for its policy, unless a request is under way.
    void request_policy(instance_id from);

    /// Arms the timer anew after work that may have set a deadline.
    void schedule();

    /// Counts a datagram that could not be decoded.
    void note_malformed(const char* where, const failure_reason& reason);

    [[nodiscard]] instance_id self() const
    {
        return {this->settings.control_address.packed()};
    }

    boost::asio::io_context& context;
    node_settings settings;
    const packet_codec& codec;
    key_value_store& store;
    flow_telemetry telemetry;
    datagram_socket packets;
    datagram_socket control;

private:
    void refresh_gauges();
    /// Writes the gauges as a log line once in a while.
    void log_state(time_point now);
    void on_control_datagram(const endpoint& sender, byte_view datagram);
    boost::asio::awaitable<void> fetch_policy(instance_id from);
    http_response answer_peer(const http_request& request) const;

    http_server peers;
    http_server metrics;
    boost::asio::steady_timer timer;
    time_point armed_for;
    time_point next_tick;
    time_point next_state_line;
    time_point malformed_logged;
    bool is_fetching = false;
};

} // namespace masticslip
