// Planned stops at three times the usual load: no request is cut whose flow an
// upstream has accepted, and none that was refused has run.

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

constexpr double usual_load = 0.35;
/// Time from an upstream's acceptance to the caller.
constexpr std::chrono::milliseconds acceptance_delay{3};

/// What is stopped within one second.
struct stop_case
{
    const char* name;
    std::function<void(virtual_flow_fleet&)> apply;
};

std::ostream& operator<<(std::ostream& stream, const stop_case& value)
{
    return stream << value.name;
}

const std::vector<stop_case> stop_cases{
    {"nothing",
     [](virtual_flow_fleet&) {
     }},
    {"an_entry",
     [](virtual_flow_fleet& fleet)
     {
         fleet.stop_entry(0);
     }},
    {"a_companion",
     [](virtual_flow_fleet& fleet)
     {
         fleet.stop_companion(0);
     }},
    {"a_host",
     [](virtual_flow_fleet& fleet)
     {
         fleet.drain_host(0, 1s);
     }},
    {"an_entry_and_a_host",
     [](virtual_flow_fleet& fleet)
     {
         fleet.stop_entry(0);
         fleet.at(500ms, [&fleet] { fleet.drain_host(0, 1s); });
     }},
    {"a_host_and_its_companion",
     [](virtual_flow_fleet& fleet)
     {
         fleet.drain_host(0, 1'500ms);
         fleet.at(500ms, [&fleet] { fleet.stop_companion(0); });
     }},
    {"a_companion_and_its_host",
     [](virtual_flow_fleet& fleet)
     {
         fleet.stop_companion(0);
         fleet.at(300ms, [&fleet] { fleet.drain_host(0, 1'500ms); });
     }},
    {"all_roles", [](virtual_flow_fleet& fleet)
     {
         fleet.stop_entry(1);
         fleet.stop_companion(2);
         fleet.at(700ms, [&fleet] { fleet.drain_host(0, 1s); });
     }}};

constexpr std::array<std::uint64_t, 6> seeds{1, 2, 3, 4, 5, 6};

/// Number of executions of a request, over all hosts.
int runs_of(const virtual_flow_fleet& fleet, std::uint64_t request)
{
    int result = 0;
    for (std::size_t i = 0; i < fleet.host_count(); ++i)
    {
        const auto& runs = fleet.host(i).runs;
        const auto found = runs.find(request);
        result += found == runs.end() ? 0 : found->second;
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet_planned_stop)

BOOST_DATA_TEST_CASE(
    no_accepted_request_is_cut_and_no_refused_one_has_run,
    boost::unit_test::data::make(stop_cases) *
        boost::unit_test::data::make(seeds),
    item,
    seed)
{
    virtual_flow_fleet fleet(small_fleet(), seed);
    std::set<std::uint64_t> accepted;
    std::set<std::uint64_t> accepted_earlier;
    fleet.start_load(small_load(3 * usual_load), 12s);
    fleet.run(5s);
    // Stops as host 0 has just accepted an opening.
    const std::size_t openings = fleet.host(0).openings.size();
    while (fleet.host(0).openings.size() == openings)
    {
        fleet.run(1ms);
    }
    item.apply(fleet);
    fleet.run(acceptance_delay - 1ms);
    accepted_earlier = fleet.callers().open_requests();
    fleet.run(1ms);
    accepted = fleet.callers().open_requests();
    fleet.run(15s);

    const auto& failed = fleet.callers().failed_requests();
    const auto cut = std::count_if(
        failed.begin(), failed.end(),
        [&](std::uint64_t request) { return accepted.contains(request); });
    const auto ran = std::count_if(
        fleet.callers().refused_requests().begin(),
        fleet.callers().refused_requests().end(),
        [&](std::uint64_t request) { return runs_of(fleet, request) != 0; });
    std::erase_if(
        accepted, [&](std::uint64_t request)
        { return accepted_earlier.contains(request); });
    BOOST_TEST_MESSAGE(
        item << ", seed " << seed << ": " << accepted_earlier.size()
             << " in progress, " << accepted.size()
             << " accepted in the last millisecond, "
             << fleet.callers().refused_requests().size() << " refused, "
             << failed.size() << " failed");
    for (const std::string& text : fleet.violations())
    {
        BOOST_TEST_MESSAGE(text);
    }
    BOOST_TEST(accepted_earlier.size() > 20U);
    BOOST_TEST(!accepted.empty());
    BOOST_TEST(cut == 0);
    BOOST_TEST(ran == 0);
    BOOST_TEST(fleet.violations().size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
