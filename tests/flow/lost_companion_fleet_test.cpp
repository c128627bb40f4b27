// Companions that the store does not list, while the number of companions that
// entries state to each other is not known: a starting entry must not take the
// missing number for the knowledge that there are no others.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

constexpr std::array<std::uint64_t, 4> seeds{1, 2, 3, 4};

/// Violations of 35 s of the usual load, with an action at 5 s.
std::size_t violations_with(
    std::uint64_t seed, const std::function<void(virtual_flow_fleet&)>& apply)
{
    virtual_flow_fleet fleet(small_fleet(), seed);
    fleet.start_load(small_load(0.35), 35s);
    fleet.at(5s, [&] { apply(fleet); });
    fleet.run(37s);
    for (const std::string& text : fleet.violations())
    {
        BOOST_TEST_MESSAGE(text);
    }
    return fleet.violations().size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet_lost_companion)

// A machine is lost. Some seconds later leases run out in an outage of the
// store, and entries start shortly after it. Without the loss no flow is reset.
BOOST_DATA_TEST_CASE(
    a_lost_companion_does_not_end_the_protection_of_others,
    boost::unit_test::data::make({false, true}) *
        boost::unit_test::data::make(seeds) *
        boost::unit_test::data::make({50, 100, 150, 350}),
    is_lost,
    seed,
    delay_ms)
{
    constexpr std::size_t lost = 2;
    const std::size_t count = violations_with(
        seed,
        [is_lost, delay_ms](virtual_flow_fleet& fleet)
        {
            if (is_lost)
            {
                fleet.turn_away_companion(lost, 60s);
                fleet.kill_companion(lost, 60s);
                fleet.crash_host(lost, 60s);
            }
            constexpr std::chrono::milliseconds begin{8'000};
            constexpr std::chrono::milliseconds outage{5'000};
            const std::chrono::milliseconds start =
                begin + outage + std::chrono::milliseconds(delay_ms) -
                fleet_shape{}.restart_time;
            fleet.at(
                begin,
                [&fleet, outage] { fleet.stop_store_and_end_leases(outage); });
            for (std::size_t i = 0; i < 4; ++i)
            {
                fleet.at(start, [&fleet, i] { fleet.kill_entry(i, 0ms); });
            }
        });
    BOOST_TEST(count == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
