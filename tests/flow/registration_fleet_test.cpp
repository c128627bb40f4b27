// Companions that the store does not list for a while, on the simulated fleet:
// no open flow is reset because an entry does not know its companion.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

/// One run: 25 s of the usual load, with an action at 5 s.
struct registration_case
{
    const char* name;
    /// Smallest share of requests that must be served from 5 to 23 s.
    double served;
    std::function<void(virtual_flow_fleet&)> apply;
};

std::ostream& operator<<(std::ostream& stream, const registration_case& value)
{
    return stream << value.name;
}

/// Kills the entries of these indices so that they start `delay` after an
/// outage of the store which begins now and ends the leases.
void restart_entries_after_outage(
    virtual_flow_fleet& fleet,
    const std::vector<std::size_t>& entries,
    std::chrono::milliseconds delay)
{
    constexpr std::chrono::milliseconds outage{5'000};
    const std::chrono::milliseconds restart = fleet_shape{}.restart_time;
    fleet.stop_store_and_end_leases(outage);
    fleet.at(
        outage + delay - restart,
        [&fleet, entries]
        {
            for (const std::size_t index : entries)
            {
                fleet.kill_entry(index, 0ms);
            }
        });
}

const std::vector<registration_case> registration_cases{
    {"an_entry_starts_as_the_first_companions_register_again", 0.97,
     [](virtual_flow_fleet& fleet)
     {
         restart_entries_after_outage(fleet, {0}, 50ms);
     }},
    {"an_entry_starts_as_most_companions_have_registered_again", 0.97,
     [](virtual_flow_fleet& fleet)
     {
         restart_entries_after_outage(fleet, {1}, 350ms);
     }},
    {"all_entries_start_while_companions_register_again", 0.9,
     [](virtual_flow_fleet& fleet)
     {
         restart_entries_after_outage(fleet, {0, 1, 2, 3}, 100ms);
     }},
    {"an_entry_is_added_while_companions_are_turned_away", 0.97,
     [](virtual_flow_fleet& fleet)
     {
         fleet.turn_away_companion(0, 9s);
         fleet.turn_away_companion(3, 9s);
         fleet.at(2s, [&fleet] { fleet.add_entry(); });
     }},
    {"an_entry_restarts_while_companions_are_turned_away", 0.97,
     [](virtual_flow_fleet& fleet)
     {
         fleet.turn_away_companion(1, 9s);
         fleet.turn_away_companion(4, 9s);
         fleet.at(2s, [&fleet] { fleet.stop_entry(0); });
     }},
    {"entries_and_companions_restart_during_an_outage", 0.8,
     [](virtual_flow_fleet& fleet)
     {
         restart_entries_after_outage(fleet, {0, 2}, 150ms);
         fleet.at(
             4s,
             [&fleet]
             {
                 fleet.kill_companion(0, 0ms);
                 fleet.kill_companion(5, 0ms);
             });
     }}};

constexpr std::array<std::uint64_t, 4> seeds{1, 2, 3, 4};
/// The virtual clock starts at one hour, the load 3 s later.
constexpr duration load_start = std::chrono::hours(1) + 3s;

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet_registrations)

BOOST_DATA_TEST_CASE(
    an_open_flow_is_not_reset_because_its_companion_is_not_listed,
    boost::unit_test::data::make(registration_cases) *
        boost::unit_test::data::make(seeds),
    item,
    seed)
{
    virtual_flow_fleet fleet(small_fleet(), seed);
    const std::size_t hosts = fleet.host_count();
    fleet.start_load(small_load(0.35), 25s);
    fleet.at(5s, [&fleet, &item] { item.apply(fleet); });
    fleet.run(27s);

    for (const std::string& text : fleet.violations())
    {
        BOOST_TEST_MESSAGE(text);
    }
    BOOST_TEST(fleet.violations().size() == 0U);
    const time_point start{load_start};
    BOOST_TEST(
        fleet.callers().served_share(start + 5s, start + 23s) >= item.served);
    BOOST_TEST(fleet.registered_count() == hosts);
}

BOOST_AUTO_TEST_SUITE_END()
