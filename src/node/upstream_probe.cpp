#include "upstream_probe.hpp"

#include <boost/asio/error.hpp>

namespace masticslip
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// A process on the same or a neighbouring machine accepts within a few
/// milliseconds, and a stop of the companion waits for the result.
constexpr std::chrono::milliseconds time_limit{100};

} // namespace

void upstream_probe::start()
{
    this->timer.expires_after(time_limit);
    this->timer.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
            {
                boost::system::error_code ignored;
                this->socket.close(ignored);
            }
        });
    this->socket.async_connect(
        tcp::endpoint(
            asio::ip::address_v4(this->address.address), this->address.port),
        [this](const boost::system::error_code& error)
        { this->on_connected(error); });
}

void upstream_probe::on_connected(const boost::system::error_code& error)
{
    upstream_presence result = upstream_presence::unknown;
    boost::system::error_code ignored;
    if (!error)
    {
        // On loopback the kernel may choose the address itself as the local
        // one, and then connects the socket to itself.
        const bool is_own = this->socket.local_endpoint(ignored) ==
                            this->socket.remote_endpoint(ignored);
        result =
            is_own ? upstream_presence::unknown : upstream_presence::running;
    }
    else if (error == asio::error::connection_refused)
    {
        result = upstream_presence::absent;
    }
    this->timer.cancel();
    this->socket.close(ignored);
    this->done(result);
}

} // namespace masticslip
