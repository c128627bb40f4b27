#include "http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace masticslip
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace
{

constexpr unsigned http_version = 11;
constexpr std::size_t max_body_size = std::size_t{8} * 1024 * 1024;
constexpr std::chrono::seconds server_idle_timeout{60};

tcp::endpoint to_tcp(const endpoint& value)
{
    return {asio::ip::address_v4(value.address), value.port};
}

auto with_error(beast::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace

asio::awaitable<std::optional<http_response>>
send_http(http_call call, std::string& reason)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(call.timeout);
    beast::error_code error;
    co_await stream.async_connect(to_tcp(call.server), with_error(error));
    http_request request(call.method, call.target, http_version);
    request.set(http::field::host, to_string(call.server));
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(call.body);
    request.prepare_payload();
    if (!error)
    {
        co_await http::async_write(stream, request, with_error(error));
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_size);
    const auto latest =
        std::chrono::steady_clock::now() + call.timeout + call.transfer_limit;
    while (!error && !parser.is_done())
    {
        co_await http::async_read_some(
            stream, buffer, parser, with_error(error));
        stream.expires_at(
            std::min(std::chrono::steady_clock::now() + call.timeout, latest));
    }
    if (error)
    {
        reason = to_string(call.server) + ": " + error.message();
        co_return std::nullopt;
    }
    co_return parser.release();
}

std::optional<http_response>
send_http_blocking(const http_call& call, std::string& reason)
{
    asio::io_context context;
    std::optional<http_response> result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        { result = co_await send_http(call, reason); },
        asio::detached);
    context.run();
    return result;
}

http_response make_response(
    const http_request& request,
    http::status status,
    std::string body,
    const char* content_type)
{
    http_response response(status, request.version());
    response.set(http::field::content_type, content_type);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

bool http_server::open(const endpoint& local, std::string& reason)
{
    beast::error_code error;
    const tcp::endpoint address = to_tcp(local);
    this->acceptor.open(address.protocol(), error);
    if (!error)
    {
        this->acceptor.set_option(
            asio::socket_base::reuse_address(true), error);
    }
    if (!error)
    {
        this->acceptor.bind(address, error);
    }
    if (!error)
    {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        reason =
            "cannot listen on " + to_string(local) + ": " + error.message();
        return false;
    }
    asio::co_spawn(
        this->acceptor.get_executor(), this->accept_loop(), asio::detached);
    return true;
}

endpoint http_server::local() const
{
    const auto address = this->acceptor.local_endpoint();
    return {address.address().to_v4().to_uint(), address.port()};
}

void http_server::close()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
}

asio::awaitable<void> http_server::accept_loop()
{
    while (this->acceptor.is_open())
    {
        beast::error_code error;
        tcp::socket socket =
            co_await this->acceptor.async_accept(with_error(error));
        if (error)
        {
            co_return;
        }
        asio::co_spawn(
            this->acceptor.get_executor(),
            this->serve(beast::tcp_stream(std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> http_server::serve(beast::tcp_stream stream)
{
    beast::flat_buffer buffer;
    beast::error_code error;
    for (;;)
    {
        stream.expires_after(server_idle_timeout);
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_size);
        co_await http::async_read(stream, buffer, parser, with_error(error));
        if (error)
        {
            co_return;
        }
        const http_request request = parser.release();
        auto response = co_await this->on_request(request, stream);
        if (!response)
        {
            co_return;
        }
        co_await http::async_write(stream, *response, with_error(error));
        if (error || !response->keep_alive())
        {
            co_return;
        }
    }
}

} // namespace masticslip
