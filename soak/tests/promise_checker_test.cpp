// Tests of the checks of the soak and of the simulated fleet.

#include "flow/event_queue.hpp"
#include "flow/promise_checker.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

const flow_endpoints flow{{0x64400001, 4'000}, {0xC6120001, 443}};

struct fixture
{
    void stray(duration at)
    {
        checker.on_flow_packet(
            event_queue::start() + at, flow, "host 2", false);
    }

    void arrive(duration at)
    {
        checker.on_flow_packet(event_queue::start() + at, flow, "host 1", true);
    }

    promise_checker checker{{}, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(promise_checker_tests, fixture)

BOOST_AUTO_TEST_CASE(three_stray_packets_in_two_seconds_break_a_promise)
{
    stray(0s);
    stray(1s);
    BOOST_TEST(checker.violations().empty());
    stray(2s);
    BOOST_REQUIRE(checker.violations().size() == 1U);
    BOOST_TEST(
        checker.violations().front().find("went astray") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(two_stray_packets_are_allowed)
{
    stray(0s);
    stray(5s);
    BOOST_TEST(checker.violations().empty());
}

BOOST_AUTO_TEST_CASE(stray_packets_for_less_than_two_seconds_are_allowed)
{
    for (int i = 0; i < 10; ++i)
    {
        stray(i * 199ms);
    }
    BOOST_TEST(checker.violations().empty());
}

BOOST_AUTO_TEST_CASE(a_packet_at_its_own_host_starts_the_count_again)
{
    stray(0s);
    stray(1s);
    arrive(1'500ms);
    stray(2s);
    stray(3s);
    BOOST_TEST(checker.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
