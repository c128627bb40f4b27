#pragma once
/// Checks whether a process listens at the upstream's address, by a TCP
/// connection that is closed at once without sending a byte.
///
///     upstream_probe probe(context, address, [](upstream_presence result) {});
///     probe.start();

#include "masticslip/core/types.hpp"
#include "masticslip/flow/upstream_monitor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace masticslip
{

/// Not thread-safe. Must exist until `context.run()` has returned.
class upstream_probe
{
public:
    using handler = std::function<void(upstream_presence)>;

    upstream_probe(
        boost::asio::io_context& context, const endpoint& address, handler done)
        : socket(context), timer(context), address(address),
          done(std::move(done))
    {
    }

    /// Starts a check, which ends within its time limit. The handler is called
    /// exactly once, not during this call. Precondition: no check is in
    /// progress.
    void start();

private:
    void on_connected(const boost::system::error_code& error);

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    endpoint address;
    handler done;
};

} // namespace masticslip
