#pragma once
/// Minimal HTTP/1.1 client and server on Boost.Beast, for local IPv4 addresses.

#include "masticslip/core/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace masticslip
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// A request to a server.
struct http_call
{
    endpoint server;
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    /// Longest time without progress: for the connection set-up with the
    /// request, and then until each next part of the response. A large response
    /// on a slow link takes longer in all.
    std::chrono::milliseconds timeout = std::chrono::seconds(2);
    /// Time limit of the whole exchange, beyond `timeout`.
    std::chrono::milliseconds transfer_limit = std::chrono::seconds(20);
};

/// Sends a request and returns the response, or nullopt and a reason on
/// failure. Runs on the caller's executor. `reason` must outlive the call.
boost::asio::awaitable<std::optional<http_response>>
send_http(http_call call, std::string& reason);

/// Like send_http(), but blocks. Runs the call on a context of its own.
std::optional<http_response>
send_http_blocking(const http_call& call, std::string& reason);

/// Creates a response with a JSON or text body.
http_response make_response(
    const http_request& request,
    boost::beast::http::status status,
    std::string body,
    const char* content_type = "application/json");

/// Serves HTTP requests. Not thread-safe.
class http_server
{
public:
    /// Returns the response to a request. May instead write to the stream
    /// itself and return nullopt; then the connection is closed.
    using handler =
        std::function<boost::asio::awaitable<std::optional<http_response>>(
            http_request, boost::beast::tcp_stream&)>;

    http_server(boost::asio::io_context& context, handler on_request)
        : acceptor(context), on_request(std::move(on_request))
    {
    }

    /// Starts to listen on an address. Returns false and a reason on failure.
    bool open(const endpoint& local, std::string& reason);

    /// Returns the address that the server listens on.
    [[nodiscard]] endpoint local() const;

    void close();

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream);

    boost::asio::ip::tcp::acceptor acceptor;
    handler on_request;
};

} // namespace masticslip
