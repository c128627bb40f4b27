#include "fault_proxy.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace masticslip::soak
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t buffer_size = 16'384;

tcp::endpoint to_tcp(const endpoint& value)
{
    return {asio::ip::address_v4(value.address), value.port};
}

auto with_error(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace

/// A client connection and the connection to the target.
struct fault_proxy::connection
{
    tcp::socket client;
    tcp::socket server;
    std::uint64_t epoch = 0;

    void close()
    {
        boost::system::error_code ignored;
        this->client.set_option(asio::socket_base::linger(true, 0), ignored);
        this->client.close(ignored);
        this->server.close(ignored);
    }
};

fault_proxy::fault_proxy(
    asio::io_context& context, endpoint listen_at, endpoint target)
    : context(context), listen_at(listen_at), target(target), acceptor(context)
{
}

bool fault_proxy::open(std::string& reason)
{
    boost::system::error_code error;
    this->acceptor.open(tcp::v4(), error);
    this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    this->acceptor.bind(to_tcp(this->listen_at), error);
    if (!error)
    {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        reason = "cannot listen on " + to_string(this->listen_at) + ": " +
                 error.message();
        return false;
    }
    asio::co_spawn(this->context, this->accept_loop(), asio::detached);
    return true;
}

endpoint fault_proxy::local() const
{
    const auto address = this->acceptor.local_endpoint();
    return {address.address().to_v4().to_uint(), address.port()};
}

void fault_proxy::set_mode(proxy_mode value)
{
    this->mode = value;
    if (value == proxy_mode::refuse)
    {
        ++this->epoch;
    }
}

asio::awaitable<void> fault_proxy::accept_loop()
{
    for (;;)
    {
        boost::system::error_code error;
        tcp::socket client =
            co_await this->acceptor.async_accept(with_error(error));
        if (error)
        {
            co_return;
        }
        if (this->mode != proxy_mode::refuse)
        {
            asio::co_spawn(
                this->context, this->serve(std::move(client)), asio::detached);
        }
    }
}

asio::awaitable<void> fault_proxy::serve(tcp::socket client)
{
    auto owner = std::make_shared<connection>(
        connection{std::move(client), tcp::socket(this->context), this->epoch});
    boost::system::error_code error;
    co_await owner->server.async_connect(
        to_tcp(this->target), with_error(error));
    if (error)
    {
        owner->close();
        co_return;
    }
    asio::co_spawn(
        this->context, this->pump(owner, owner->client, owner->server, false),
        asio::detached);
    co_await this->pump(owner, owner->server, owner->client, true);
}

asio::awaitable<void> fault_proxy::pump(
    std::shared_ptr<connection> owner,
    tcp::socket& from,
    tcp::socket& to,
    bool is_answer)
{
    std::array<char, buffer_size> data{};
    for (;;)
    {
        boost::system::error_code error;
        const std::size_t size = co_await from.async_read_some(
            asio::buffer(data), with_error(error));
        if (error || owner->epoch != this->epoch)
        {
            owner->close();
            co_return;
        }
        if (this->mode == proxy_mode::slow)
        {
            asio::steady_timer timer(this->context, delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        const bool is_lost = this->mode == proxy_mode::silent ||
                             (this->mode == proxy_mode::one_way && is_answer);
        if (!is_lost)
        {
            co_await asio::async_write(
                to, asio::buffer(data.data(), size), with_error(error));
        }
        if (error)
        {
            owner->close();
            co_return;
        }
    }
}

} // namespace masticslip::soak
