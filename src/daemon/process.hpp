#pragma once
/// Base class of both roles of masticslipd: event loop, ticks, signals, admin
/// server. The roles of masticslip_node (layer 4) derive from flow_node
/// instead.

#include "daemon_settings.hpp"
#include "internal_transport.hpp"
#include "masticslip/core/configuration.hpp"
#include "net/http.hpp"
#include "telemetry/telemetry.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <memory>

namespace masticslip
{

/// Returns the monotonic time for the core.
time_point monotonic_now();

/// Derives an incarnation from the wall-clock time.
incarnation make_incarnation();

/// Not thread-safe; runs on one thread.
class process
{
public:
    process(boost::asio::io_context& context, daemon_settings settings);
    virtual ~process() = default;

    /// Opens all sockets and starts work; false and a reason on failure.
    bool start(std::string& reason);

protected:
    /// Opens the resources that only this role needs.
    virtual bool open_role(std::string& reason) = 0;
    virtual void on_message(const received_message& message) = 0;
    virtual void on_tick(time_point now) = 0;
    /// Starts a graceful stop.
    virtual void on_stop_requested(time_point now) = 0;
    /// True once the graceful stop is complete or has timed out.
    virtual bool may_exit(time_point now) = 0;
    /// Final work before the event loop stops.
    virtual void before_exit(time_point now) = 0;
    /// The configuration in force, or null.
    [[nodiscard]] virtual std::shared_ptr<const configuration>
    current_configuration() const = 0;
    /// Generation in force; zero if none.
    [[nodiscard]] generation in_force() const;
    virtual boost::json::object status(time_point now) = 0;
    virtual boost::json::object flows(std::size_t limit) = 0;
    /// Handles a configuration document; false and a reason if rejected.
    virtual bool submit_configuration(
        const std::string& document, failure_reason& reason) = 0;

    /// Records the wall-clock time at which a generation came into force.
    void record_generation();

    /// Generations that came into force in this process, newest last.
    [[nodiscard]] boost::json::array history() const;

    boost::asio::io_context& context;
    daemon_settings settings;
    wire_identity identity;
    telemetry metrics;
    internal_transport transport;

private:
    void schedule_tick();
    void wait_for_signal();
    void finish(time_point now);
    boost::asio::awaitable<std::optional<http_response>>
    on_request(http_request request, boost::beast::tcp_stream& stream);
    http_response handle_configuration_post(const http_request& request);

    struct generation_record
    {
        generation number = 0;
        std::int64_t since_us = 0;
        std::string change_id;
    };

    std::deque<generation_record> generation_history;
    http_server admin;
    boost::asio::steady_timer tick_timer;
    boost::asio::signal_set signals;
    bool stopping = false;
};

} // namespace masticslip
