// Upstreams that go down and up in turn in a fleet: they must not attract new
// flows that they then lose, and must return to their share afterwards.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

/// The load starts 3 s after the virtual clock, which starts at one hour.
const time_point load_start{std::chrono::hours(1) + 3s};
/// Hosts of the first service.
constexpr std::size_t hosts = 7;
constexpr std::chrono::milliseconds first_crash{5'000};
constexpr std::chrono::milliseconds period{2'000};
constexpr int crashes = 6;

std::size_t openings_between(
    const virtual_flow_fleet& fleet,
    std::size_t host,
    std::chrono::milliseconds from,
    std::chrono::milliseconds until)
{
    const auto& times = fleet.host(host).openings;
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(),
        [&](time_point time)
        { return time >= load_start + from && time < load_start + until; }));
}

/// Lets a host be down and up for a second each.
void alternate(virtual_flow_fleet& fleet, std::size_t host)
{
    for (int i = 0; i < crashes; ++i)
    {
        fleet.at(
            first_crash + i * period,
            [&fleet, host] { fleet.crash_host(host, period / 2, true); });
    }
}

constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet_unstable_upstream)

BOOST_DATA_TEST_CASE(
    an_alternating_upstream_gets_few_flows_and_returns_to_its_share,
    boost::unit_test::data::make({std::size_t{1}, std::size_t{3}}) *
        boost::unit_test::data::make(seeds),
    unstable,
    seed)
{
    virtual_flow_fleet fleet(small_fleet(), seed);
    fleet.start_load(small_load(0.35), 35s);
    for (std::size_t i = 0; i < unstable; ++i)
    {
        alternate(fleet, i);
    }
    fleet.run(38s);

    BOOST_TEST(fleet.violations().empty());
    // From the second loss (the return at 8 s) to the last return at 16 s.
    const auto stable = openings_between(fleet, hosts - 1, 8s, 16s);
    // The last probation, of 8 s, ends at 24 s.
    const auto share = openings_between(fleet, hosts - 1, 24s, 33s);
    for (std::size_t i = 0; i < unstable; ++i)
    {
        const auto meanwhile = openings_between(fleet, i, 8s, 16s);
        BOOST_TEST(meanwhile * 20 <= stable, meanwhile << " of " << stable);
        const auto after = openings_between(fleet, i, 24s, 33s);
        BOOST_TEST(after * 10 >= share * 8, after << " of " << share);
    }
}

// A limit derived from answers must not turn flows away while there is enough
// capacity.
BOOST_DATA_TEST_CASE(
    no_flow_is_refused_without_a_failure,
    boost::unit_test::data::make(seeds),
    seed)
{
    virtual_flow_fleet fleet(small_fleet(), seed);
    fleet.start_load(small_load(0.35), 20s);
    // Within two seconds of the load upstreams have shown what they sustain.
    fleet.run(5s);
    const auto refused = fleet.count(flow_event_kind::flow_refused);
    fleet.run(18s);
    BOOST_TEST(fleet.violations().empty());
    BOOST_TEST(fleet.count(flow_event_kind::flow_refused) == refused);
    BOOST_TEST(fleet.count(flow_event_kind::flow_rejected) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
