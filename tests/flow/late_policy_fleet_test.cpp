// Changes that no watch reports, on the simulated fleet: they are in force
// within the time limit, and finding them does not cost more in larger fleets.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds silence{20'000};
/// A check is answered at once here, and nothing is lost.
constexpr std::uint64_t max_checks_per_second = 2;

fleet_shape fleet_with(std::uint32_t entries)
{
    fleet_shape result = small_fleet();
    result.entries = entries;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(late_policy_fleet)

BOOST_DATA_TEST_CASE(
    a_change_that_no_watch_reports_is_in_force_in_time,
    boost::unit_test::data::make({1U, 4U, 17U, 26U}),
    entries)
{
    virtual_flow_fleet fleet(fleet_with(entries), entries);
    fleet.run(5s);
    fleet.silence_watches(silence);
    fleet.run(3s);
    fleet.change_version();
    fleet.run(default_policy_time_limit);
    BOOST_TEST(fleet.is_policy_everywhere());
    BOOST_TEST(fleet.violations().empty());
}

BOOST_DATA_TEST_CASE(
    checks_do_not_grow_with_the_number_of_entries,
    boost::unit_test::data::make({1U, 4U, 17U, 26U}),
    entries)
{
    virtual_flow_fleet fleet(fleet_with(entries), entries);
    fleet.run(5s);
    fleet.silence_watches(silence);
    const std::uint64_t before = fleet.policy_checks();
    fleet.run(10s);
    BOOST_TEST(fleet.policy_checks() - before <= 10 * max_checks_per_second);
}

BOOST_AUTO_TEST_CASE(
    an_entry_that_the_store_turns_away_leaves_checks_to_the_others)
{
    virtual_flow_fleet fleet(small_fleet(), 5);
    fleet.run(5s);
    fleet.silence_watches(silence);
    fleet.turn_away_entry(0, silence);
    fleet.run(3s);
    fleet.change_version();
    fleet.run(default_policy_time_limit);
    BOOST_TEST(fleet.is_policy_everywhere());
}

BOOST_AUTO_TEST_SUITE_END()
