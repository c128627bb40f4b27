// Tests of the parts of the soak: the fault proxy, the fault schedule and the
// conversion of simulated packets to the platform's layout.

#include "fault_plan.hpp"
#include "fault_proxy.hpp"
#include "fault_series.hpp"
#include "net/http.hpp"
#include "platform/packet_bridge.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace masticslip;
using namespace masticslip::soak;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds call_limit{700};

/// An HTTP server behind a fault proxy.
struct proxied_server
{
    proxied_server()
        : server(
              context,
              [this](http_request request, boost::beast::tcp_stream&)
                  -> boost::asio::awaitable<std::optional<http_response>>
              {
                  ++this->served;
                  co_return make_response(
                      request, boost::beast::http::status::ok, "{}");
              })
    {
        std::string reason;
        BOOST_REQUIRE_MESSAGE(server.open({0x7F000001, 0}, reason), reason);
        proxy = std::make_unique<fault_proxy>(
            context, endpoint{0x7F000001, 0}, server.local());
        BOOST_REQUIRE_MESSAGE(proxy->open(reason), reason);
    }

    /// Sends a request through the proxy; returns true if it was answered.
    /// Sets `taken` to the elapsed time.
    bool call()
    {
        std::optional<bool> answered;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void>
            {
                http_call request;
                request.server = proxy->local();
                request.target = "/";
                request.timeout = call_limit;
                std::string problem;
                const auto answer =
                    co_await send_http(std::move(request), problem);
                answered = answer.has_value();
            },
            boost::asio::detached);
        const auto begin = std::chrono::steady_clock::now();
        while (!answered)
        {
            context.restart();
            context.run_for(10ms);
        }
        taken = std::chrono::steady_clock::now() - begin;
        return *answered;
    }

    boost::asio::io_context context{1};
    int served = 0;
    std::chrono::steady_clock::duration taken{};
    http_server server;
    std::unique_ptr<fault_proxy> proxy;
};

struct mode_case
{
    const char* name;
    proxy_mode mode;
    bool is_answered;
    int served;
};

std::ostream& operator<<(std::ostream& stream, const mode_case& value)
{
    return stream << value.name;
}

const std::vector<mode_case> mode_cases{
    {"pass", proxy_mode::pass, true, 1},
    {"slow", proxy_mode::slow, true, 1},
    {"refuse", proxy_mode::refuse, false, 0},
    {"silent", proxy_mode::silent, false, 0},
    {"one_way", proxy_mode::one_way, false, 1}};

std::string describe(const std::vector<planned_fault>& plan)
{
    std::string result;
    for (const auto& fault : plan)
    {
        result += std::to_string(fault.at.count()) + " " + fault.name + "\n";
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(soak_parts)

BOOST_DATA_TEST_CASE_F(
    proxied_server,
    proxy_applies_its_mode_to_connections,
    boost::unit_test::data::make(mode_cases),
    item)
{
    proxy->set_mode(item.mode);
    BOOST_TEST(call() == item.is_answered);
    BOOST_TEST(served == item.served);
    const bool is_slow = taken >= fault_proxy::delay;
    BOOST_TEST(
        is_slow ==
        (item.mode == proxy_mode::slow || item.mode == proxy_mode::silent ||
         item.mode == proxy_mode::one_way));

    proxy->set_mode(proxy_mode::pass);
    BOOST_TEST(call());
}

BOOST_AUTO_TEST_CASE(the_same_seed_draws_the_same_faults)
{
    const soak_settings settings;
    const auto first = describe(draw_faults(7, settings, 60s, 700ms));
    BOOST_TEST(first == describe(draw_faults(7, settings, 60s, 700ms)));
    BOOST_TEST(first != describe(draw_faults(8, settings, 60s, 700ms)));
}

BOOST_AUTO_TEST_CASE(faults_fall_within_the_run)
{
    const auto plan = draw_faults(3, {}, 30s, 500ms);
    BOOST_TEST(plan.size() > 30U);
    for (const auto& fault : plan)
    {
        BOOST_TEST(fault.at.count() >= 1'000);
        BOOST_TEST(fault.at.count() < 30'000);
    }
}

BOOST_AUTO_TEST_CASE(the_schedule_is_in_order_of_time)
{
    const auto plan = draw_faults(4, {}, 30s, 500ms);
    BOOST_TEST(std::is_sorted(
        plan.begin(), plan.end(),
        [](const auto& first, const auto& second)
        { return first.at < second.at; }));
}

BOOST_AUTO_TEST_CASE(even_seeds_spare_the_machines_of_upstreams)
{
    for (std::uint64_t seed = 2; seed <= 40; seed += 2)
    {
        for (const auto& fault : draw_faults(seed, {}, 60s, 200ms))
        {
            for (const char* start : {"kill", "pause", "crash", "degrade"})
            {
                BOOST_TEST(!fault.name.starts_with(start));
            }
        }
    }
}

/// Every kind of series occurs within a few runs, and the restarts of one
/// overlap the store faults of another.
BOOST_AUTO_TEST_CASE(series_overlap_and_cover_all_kinds)
{
    const std::vector<std::string> kinds{
        "series: store fault",
        "series: expire all leases",
        "series: turn companion",
        "series: stop process",
        "series: reload process",
        "series: kill process",
        "series: change the configuration"};
    std::set<std::string> seen;
    std::size_t restarts_near_outages = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        const auto plan = draw_series(seed, {}, 20s);
        std::set<std::chrono::milliseconds> outages;
        for (const auto& fault : plan)
        {
            BOOST_TEST(fault.at.count() >= 1'000);
            BOOST_TEST(fault.at.count() < 20'000);
            for (const auto& kind : kinds)
            {
                if (fault.name.starts_with(kind))
                {
                    seen.insert(kind);
                }
            }
            if (fault.name.starts_with(kinds[0]))
            {
                outages.insert(fault.at);
            }
        }
        for (const auto& fault : plan)
        {
            const auto outage = outages.upper_bound(fault.at - 8s);
            restarts_near_outages +=
                fault.name.starts_with("series: stop process") &&
                        outage != outages.end() && *outage <= fault.at
                    ? 1
                    : 0;
        }
    }
    BOOST_TEST(seen.size() == kinds.size());
    BOOST_TEST(restarts_near_outages >= 50U);
}

BOOST_AUTO_TEST_CASE(packets_round_trip_through_the_platform_layout)
{
    standin::virtual_packet packet;
    packet.flow = {{0x7F4D6401, 4'000}, {0xC6120001, 443}};
    packet.flags.acknowledges = true;
    packet.flags.closes = true;
    packet.sequence = 17;
    packet.acknowledged = 18;
    packet.payload_size = 1'200;
    packet.request = 99;
    packet.part = 3;
    packet.parts = 10;
    for (const bool from_caller : {true, false})
    {
        packet.from_caller = from_caller;
        const bytes datagram = standin::to_datagram(packet);
        const auto read = standin::from_datagram(datagram, from_caller);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(to_string(read->flow) == to_string(packet.flow));
        BOOST_TEST(read->request == packet.request);
        BOOST_TEST(read->part == packet.part);
        BOOST_TEST(read->parts == packet.parts);
        BOOST_TEST(read->flags.closes);
        BOOST_TEST(!read->flags.opens);
        BOOST_TEST(read->sequence == packet.sequence);
        BOOST_TEST(read->acknowledged == packet.acknowledged);
    }
}

BOOST_AUTO_TEST_CASE(bounced_packet_is_read_as_caller_packet)
{
    standin::virtual_packet packet;
    packet.flow = {{0x7F4D6401, 4'000}, {0xC6120001, 443}};
    packet.flags.opens = true;
    packet.flags.bounced = true;
    const auto read =
        standin::from_datagram(standin::to_datagram(packet), false);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(to_string(read->flow) == to_string(packet.flow));
    BOOST_TEST(read->from_caller);
}

BOOST_AUTO_TEST_SUITE_END()
