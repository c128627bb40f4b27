// Presence checks against real sockets. A check that mistakes a busy upstream
// for an absent one would end its flows.

#include "node/upstream_probe.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace masticslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::uint32_t loopback = 0x7F000001;

struct probe_fixture
{
    probe_fixture()
        : acceptor(
              context, tcp::endpoint(asio::ip::address_v4(loopback), 0), true)
    {
    }

    endpoint address() const
    {
        return {loopback, this->acceptor.local_endpoint().port()};
    }

    /// Runs one check; nullopt if it has no result within a second.
    std::optional<upstream_presence> check(const endpoint& to)
    {
        std::optional<upstream_presence> result;
        upstream_probe probe(
            this->context, to,
            [&result](upstream_presence value)
            {
                BOOST_TEST(!result.has_value());
                result = value;
            });
        probe.start();
        BOOST_TEST(!result.has_value());
        this->context.run_for(1s);
        this->context.restart();
        return result;
    }

    asio::io_context context{1};
    tcp::acceptor acceptor;
};

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_probe_rules)

BOOST_FIXTURE_TEST_CASE(a_listening_process_is_running, probe_fixture)
{
    const auto result = check(address());
    BOOST_TEST((result == upstream_presence::running));
    tcp::socket accepted = acceptor.accept();
    char byte = 0;
    boost::system::error_code error;
    BOOST_TEST(accepted.read_some(asio::buffer(&byte, 1), error) == 0U);
    BOOST_TEST((error == asio::error::eof));
}

BOOST_FIXTURE_TEST_CASE(a_refused_connection_is_absent, probe_fixture)
{
    const endpoint closed = address();
    acceptor.close();
    const auto result = check(closed);
    BOOST_TEST((result == upstream_presence::absent));
}

// The upstream is starved and its queue of connections full.
BOOST_FIXTURE_TEST_CASE(
    a_connection_without_an_answer_is_unknown, probe_fixture)
{
    tcp::acceptor busy(context);
    busy.open(tcp::v4());
    busy.bind({asio::ip::address_v4(loopback), 0});
    busy.listen(0);
    const tcp::endpoint target = busy.local_endpoint();
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < 4; ++i)
    {
        waiting.emplace_back(context);
        waiting.back().async_connect(target, [](const auto&) {});
    }
    context.run_for(20ms);
    context.restart();
    const auto result = check({loopback, target.port()});
    BOOST_TEST((result == upstream_presence::unknown));
}

BOOST_FIXTURE_TEST_CASE(a_probe_can_be_used_again, probe_fixture)
{
    std::vector<upstream_presence> results;
    upstream_probe probe(
        context, address(),
        [&](upstream_presence value)
        {
            results.push_back(value);
            if (results.size() == 1)
            {
                acceptor.close();
                probe.start();
            }
        });
    probe.start();
    context.run_for(500ms);
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results[0] == upstream_presence::running));
    BOOST_TEST((results[1] == upstream_presence::absent));
}

BOOST_AUTO_TEST_SUITE_END()
