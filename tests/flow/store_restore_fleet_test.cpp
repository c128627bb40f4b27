// A store that is restored from an older copy, on the simulated fleet: no
// process goes back to an older version, no withdrawn domain and no departed
// upstream gets new flows, no open flow is reset.

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
struct restore_case
{
    const char* name;
    /// Smallest share of requests that must be served from 5 to 23 s.
    double served;
    std::function<void(virtual_flow_fleet&)> apply;
};

std::ostream& operator<<(std::ostream& stream, const restore_case& value)
{
    return stream << value.name;
}

const std::vector<restore_case> restore_cases{
    {"nothing_was_written_since", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.restore_store_copy(2s, 1s);
     }},
    {"right_after_a_new_version", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.change_version();
         fleet.at(30ms, [&fleet] { fleet.restore_store_copy(4s, 2s); });
     }},
    {"after_a_withdrawal_newer_than_the_copy", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(0);
         fleet.at(2s, [&fleet] { fleet.restore_store_copy(4s, 3s); });
     }},
    {"after_a_withdrawal_was_taken_back", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(0);
         fleet.at(4s, [&fleet] { fleet.restore(0); });
         fleet.at(6s, [&fleet] { fleet.restore_store_copy(4s, 3s); });
     }},
    {"while_half_of_the_entries_are_turned_away", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(0);
         fleet.at(
             2s,
             [&fleet]
             {
                 fleet.turn_away_entry(0, 5s);
                 fleet.turn_away_entry(1, 5s);
                 fleet.restore_store_copy(4s, 3s);
             });
     }},
    {"twice_within_a_second", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(1);
         fleet.change_version();
         fleet.at(2s, [&fleet] { fleet.restore_store_copy(4s, 3s); });
         fleet.at(2'700ms, [&fleet] { fleet.restore_store_copy(4s, 3s); });
     }},
    {"entries_start_between_return_and_rewriting", 0.9,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(0);
         fleet.at(2s, [&fleet] { fleet.restore_store_copy(4s, 4s); });
         fleet.at(
             2'500ms,
             [&fleet]
             {
                 fleet.kill_entry(0, 0ms);
                 fleet.kill_entry(3, 0ms);
             });
     }},
    {"companions_start_between_return_and_rewriting", 0.95,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(0);
         fleet.at(2s, [&fleet] { fleet.restore_store_copy(4s, 4s); });
         fleet.at(
             2'500ms,
             [&fleet]
             {
                 for (std::size_t i = 0; i < 4; ++i)
                 {
                     fleet.kill_companion(i, 0ms);
                 }
             });
     }},
    {"after_an_upstream_has_left", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.drain_host(0, 3s);
         fleet.at(4s, [&fleet] { fleet.restore_store_copy(4s, 2s); });
     }},
    {"after_an_upstream_was_added", 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.add_host("meetups", 0);
         fleet.at(2s, [&fleet] { fleet.restore_store_copy(4s, 2s); });
     }},
    {"while_an_entry_is_frozen", 0.9,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(0);
         fleet.at(1s, [&fleet] { fleet.freeze_entry(0, 4s); });
         fleet.at(2s, [&fleet] { fleet.restore_store_copy(4s, 2s); });
     }}};

const std::vector<std::uint64_t> seeds{1, 2, 3};
/// The virtual clock starts at one hour, the load 3 s later.
constexpr duration load_start = std::chrono::hours(1) + 3s;

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet_restored_store)

BOOST_DATA_TEST_CASE(
    no_promise_is_broken,
    boost::unit_test::data::make(restore_cases) *
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
    BOOST_TEST(fleet.violations().empty());
    const time_point start{load_start};
    BOOST_TEST(
        fleet.callers().served_share(start + 5s, start + 23s) >= item.served);
    BOOST_TEST(fleet.is_policy_everywhere());
    // One host may have left or joined.
    BOOST_TEST(fleet.registered_count() + 1 >= hosts);
}

BOOST_AUTO_TEST_SUITE_END()
