// Checks the time limits of HTTP calls against a server that sends its response
// in pieces.

#include "net/http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;

constexpr std::size_t piece_size = 100;

/// A response of `pieces` pieces, one per `gap`; the server falls silent after
/// `sent` of them.
struct slow_response
{
    const char* name;
    std::size_t pieces;
    std::size_t sent;
    std::chrono::milliseconds gap;
    bool succeeds;
    /// Longest time until the call ends.
    std::chrono::milliseconds limit;
};

std::ostream& operator<<(std::ostream& stream, const slow_response& value)
{
    return stream << value.name;
}

const std::vector<slow_response> slow_responses{
    {"longer_in_all_than_the_timeout", 10, 10, 80ms, true, 3'000ms},
    {"silent_from_the_start", 3, 0, 10ms, false, 600ms},
    {"silent_halfway", 10, 3, 20ms, false, 700ms},
    {"beyond_the_limit_of_the_transfer", 100, 100, 50ms, false, 2'200ms}};

asio::awaitable<std::optional<http_response>>
send_in_pieces(const slow_response& item, boost::beast::tcp_stream& stream)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(item.pieces * piece_size) +
                             "\r\n\r\n";
    const std::string piece(piece_size, 'x');
    asio::steady_timer timer(stream.get_executor());
    for (std::size_t i = 0; i < item.sent; ++i)
    {
        if (i == 0)
        {
            co_await asio::async_write(
                stream, asio::buffer(head), asio::use_awaitable);
        }
        co_await asio::async_write(
            stream, asio::buffer(piece), asio::use_awaitable);
        timer.expires_after(item.gap);
        co_await timer.async_wait(asio::use_awaitable);
    }
    timer.expires_after(5s);
    co_await timer.async_wait(asio::use_awaitable);
    co_return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_calls)

BOOST_DATA_TEST_CASE(
    a_call_ends_when_the_response_makes_no_progress,
    boost::unit_test::data::make(slow_responses),
    item)
{
    asio::io_context context;
    http_server server(
        context, [&item](http_request, boost::beast::tcp_stream& stream)
        { return send_in_pieces(item, stream); });
    std::string reason;
    BOOST_REQUIRE_MESSAGE(server.open({0x7F000001, 0}, reason), reason);
    http_call call;
    call.server = server.local();
    call.target = "/";
    call.timeout = 400ms;
    call.transfer_limit = 1'500ms;
    std::optional<http_response> response;
    bool has_ended = false;
    const auto start = std::chrono::steady_clock::now();
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            response = co_await send_http(call, reason);
            has_ended = true;
        },
        asio::detached);
    while (!has_ended && std::chrono::steady_clock::now() - start < 5s)
    {
        context.run_one_for(10ms);
    }
    const auto taken = std::chrono::steady_clock::now() - start;
    context.stop();

    BOOST_TEST(response.has_value() == item.succeeds, reason);
    BOOST_TEST((taken < item.limit));
    BOOST_TEST((response.has_value() || !reason.empty()));
}

BOOST_AUTO_TEST_SUITE_END()
