#pragma once
/// What both roles of the daemon share: event loop, clock, ticks, signals.

#include "daemon_settings.hpp"
#include "internal_transport.hpp"
#include "net/http.hpp"
#include "telemetry/telemetry.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <deque>

namespace masticslip
{

/// Returns the monotonic time for the core.
time_point monotonic_now();

/// Returns an incarnation for a process that starts now.
incarnation make_incarnation();

/// A role of the daemon. Not thread-safe; runs on one thread.
class process
{
public:
    process(boost::asio::io_context& context, daemon_settings settings);
    virtual ~process() = default;

    /// Opens all sockets and starts to work; false and a reason on failure.
    bool start(std::string& reason);

protected:
    /// Opens what the role needs besides the common sockets.
    virtual bool open_role(std::string& reason) = 0;
    virtual void on_message(const received_message& message) = 0;
    virtual void on_tick(time_point now) = 0;
    /// Begins a graceful stop.
    virtual void on_stop_requested(time_point now) = 0;
    /// True if the graceful stop is complete.
    virtual bool may_exit(time_point now) = 0;
    /// Last work before the process ends.
    virtual void before_exit(time_point now) = 0;
    [[nodiscard]] virtual generation in_force() const = 0;
    virtual boost::json::object status(time_point now) = 0;
    virtual boost::json::object flows(std::size_t limit) = 0;
    /// Takes a document from an operator's tool.
    virtual bool
    take_configuration(const std::string& document, failure_reason& reason) = 0;

    /// Notes the wall-clock time at which a generation came into force.
    void note_generation();

    /// Generations that came into force here, newest last.
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
    http_response answer_configuration(const http_request& request);

    struct in_force_record
    {
        generation number = 0;
        std::int64_t since_us = 0;
    };

    std::deque<in_force_record> generations;
    http_server admin;
    boost::asio::steady_timer ticks;
    boost::asio::signal_set signals;
    bool stopping = false;
};

} // namespace masticslip
