// Companions that return from a loss without their upstream: a presence check
// lets them deny its former flows and leave the list when they stop.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(flow_fleet_presence)

// The companion's process is 0.95 s old when it is stopped, too young for a
// missing status to count.
BOOST_DATA_TEST_CASE(
    a_companion_without_its_upstream_leaves_the_list_when_it_stops,
    boost::unit_test::data::make(std::vector<std::uint64_t>{1, 2, 3, 4}),
    seed)
{
    constexpr std::size_t lost = 2;
    virtual_flow_fleet fleet(small_fleet(), seed);
    fleet.start_load(small_load(0.35), 15s);
    std::size_t listed = 0;
    fleet.at(
        5s,
        [&fleet]
        {
            fleet.crash_host(lost, 60s);
            fleet.kill_companion(lost, 0ms);
        });
    fleet.at(6'500ms, [&fleet] { fleet.stop_companion(lost); });
    fleet.at(6'700ms, [&] { listed = fleet.registered_count(); });
    fleet.run(17s);
    BOOST_TEST(listed == fleet.host_count() - 1);
    for (const std::string& text : fleet.violations())
    {
        BOOST_TEST_MESSAGE(text);
    }
    BOOST_TEST(fleet.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
