// Fault injection on the layer-4 path in virtual time: no promise is broken,
// and the share of requests that is served stays above a bound.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

using fault = std::function<void(virtual_flow_fleet&)>;

/// One run: 25 s of the usual load, with a fault at 5 s.
struct fault_case
{
    const char* name;
    /// Smallest share of requests that must be served during the fault (5 to
    /// 12 s) and after it (15 to 23 s).
    double served_during;
    double served_after;
    fault apply;
};

std::ostream& operator<<(std::ostream& stream, const fault_case& value)
{
    return stream << value.name;
}

const std::vector<fault_case> fault_cases{
    {"no_fault", 0.999, 0.999,
     [](virtual_flow_fleet&) {
     }},
    {"entries_are_restarted_one_by_one", 0.99, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         for (std::size_t i = 0; i < 4; ++i)
         {
             fleet.at(i * 2'500ms, [&fleet, i] { fleet.stop_entry(i); });
         }
     }},
    {"an_entry_is_killed", 0.97, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.kill_entry(0, 500ms);
     }},
    {"entries_are_added", 0.999, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.add_entry();
         fleet.add_entry();
     }},
    {"companions_are_restarted_one_by_one", 0.99, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         for (std::size_t i = 0; i < 7; ++i)
         {
             fleet.at(i * 1'000ms, [&fleet, i] { fleet.stop_companion(i); });
         }
     }},
    {"all_companions_are_killed", 0.9, 0.99,
     [](virtual_flow_fleet& fleet)
     {
         for (std::size_t i = 0; i < fleet.host_count(); ++i)
         {
             fleet.kill_companion(i, 0ms);
         }
     }},
    {"all_power_is_lost", 0.7, 0.99,
     [](virtual_flow_fleet& fleet)
     {
         fleet.lose_power(1'000ms);
     }},
    {"a_host_crashes_and_returns_cold", 0.97, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.crash_host(0, 4'000ms);
     }},
    {"hosts_crash_and_their_machines_bounce", 0.99, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         for (std::size_t i = 0; i < 3; ++i)
         {
             fleet.crash_host(i, 4'000ms, true);
         }
     }},
    {"a_host_leaves", 0.999, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.drain_host(0, 3'000ms);
     }},
    {"hosts_are_replaced", 0.999, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         for (std::size_t i = 0; i < 3; ++i)
         {
             fleet.at(
                 i * 1'000ms,
                 [&fleet, i]
                 {
                     fleet.add_host("meetups", i % 3);
                     fleet.drain_host(i, 3'000ms);
                 });
         }
     }},
    {"a_domain_is_withdrawn_and_returned", 0.999, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(0);
         fleet.at(7'000ms, [&fleet] { fleet.restore(0); });
     }},
    {"two_domains_are_cut", 0.9, 0.99,
     [](virtual_flow_fleet& fleet)
     {
         fleet.cut_domains(0, 1);
         fleet.at(5'000ms, [&fleet] { fleet.heal_domains(); });
     }},
    {"a_companion_is_cut", 0.95, 0.99,
     [](virtual_flow_fleet& fleet)
     {
         fleet.cut_companion(0, 5'000ms);
     }},
    {"an_entry_is_cut_from_all_companions", 0.93, 0.99,
     [](virtual_flow_fleet& fleet)
     {
         fleet.cut_entry(0, 5'000ms);
     }},
    {"an_entry_is_frozen", 0.9, 0.99,
     [](virtual_flow_fleet& fleet)
     {
         fleet.freeze_entry(0, 4'000ms);
     }},
    {"a_companion_is_frozen", 0.93, 0.99,
     [](virtual_flow_fleet& fleet)
     {
         fleet.freeze_companion(0, 4'000ms);
     }},
    {"the_store_is_down_while_a_domain_was_withdrawn", 0.999, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(1);
         fleet.at(10ms, [&fleet] { fleet.stop_store(6'000ms); });
     }},
    {"an_entry_is_turned_away_while_a_domain_is_withdrawn", 0.999, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.turn_away_entry(0, 9'000ms);
         fleet.withdraw(1);
     }},
    {"a_killed_entry_returns_while_it_is_turned_away", 0.97, 0.999,
     [](virtual_flow_fleet& fleet)
     {
         fleet.turn_away_entry(0, 9'000ms);
         fleet.kill_entry(0, 0ms);
     }}};

/// Share of requests served before, during and after the fault.
struct served_shares
{
    double before = 0;
    double during = 0;
    double after = 0;
};

served_shares
run_with_fault(virtual_flow_fleet& fleet, const fault& apply, double load_share)
{
    fleet.start_load(small_load(load_share), 25s);
    fleet.at(5'000ms, [&fleet, &apply] { apply(fleet); });
    fleet.run(30'000ms);
    // The virtual clock starts at one hour, the load 3 s later.
    const time_point start{std::chrono::hours(1) + 3s};
    const auto& callers = fleet.callers();
    return {
        callers.served_share(start, start + 4s),
        callers.served_share(start + 5s, start + 12s),
        callers.served_share(start + 15s, start + 23s)};
}

std::string first_or_empty(const std::vector<std::string>& texts)
{
    return texts.empty() ? std::string() : texts.front();
}

constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};
/// Seed 7 guards against two former faults: a delayed opening replaced an open
/// flow, and an owner hint masked that the companion was uncertain.
constexpr std::array<std::uint64_t, 4> loss_seeds{7, 8, 9, 10};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet)

BOOST_DATA_TEST_CASE(
    promises_hold_and_requests_are_served,
    boost::unit_test::data::make(fault_cases) *
        boost::unit_test::data::make(seeds),
    item,
    seed)
{
    virtual_flow_fleet fleet(small_fleet(), seed);

    const served_shares result = run_with_fault(fleet, item.apply, 0.35);

    BOOST_TEST(fleet.violations().empty(), first_or_empty(fleet.violations()));
    BOOST_TEST(result.before >= 0.999);
    BOOST_TEST(result.during >= item.served_during);
    BOOST_TEST(result.after >= item.served_after);
}

BOOST_DATA_TEST_CASE(
    promises_hold_with_datagram_loss,
    boost::unit_test::data::make(fault_cases) *
        boost::unit_test::data::make(loss_seeds),
    item,
    seed)
{
    fleet_shape shape = small_fleet();
    shape.loss = 0.01;
    virtual_flow_fleet fleet(shape, seed);

    run_with_fault(fleet, item.apply, 0.35);

    BOOST_TEST(fleet.violations().empty(), first_or_empty(fleet.violations()));
}

BOOST_DATA_TEST_CASE(
    cold_hosts_get_no_more_than_the_stated_rate,
    boost::unit_test::data::make(fault_cases),
    item)
{
    fleet_shape shape = small_fleet();
    shape.cold_flows_per_second = 4;
    virtual_flow_fleet fleet(shape, 11);

    run_with_fault(fleet, item.apply, 0.35);

    BOOST_TEST(fleet.violations().empty(), first_or_empty(fleet.violations()));
}

BOOST_AUTO_TEST_CASE(crashed_hosts_that_bounce_attract_few_openings)
{
    virtual_flow_fleet fleet(small_fleet(), 5);
    run_with_fault(
        fleet,
        [](virtual_flow_fleet& item)
        {
            for (std::size_t i = 0; i < 3; ++i)
            {
                item.crash_host(i, 4'000ms, true);
            }
        },
        0.35);
    // A status is overdue after 2.5 s. Until then each of four entries is
    // refused once per report, every 250 ms, and each host bounces the first
    // few probes and then one every 400 ms.
    constexpr std::uint64_t refusals_by_report = 4U * 10;
    constexpr std::uint64_t probes = 4 + 2'500 / 400;
    constexpr std::uint64_t bound = 3 * (refusals_by_report + probes);
    BOOST_TEST(fleet.count(flow_event_kind::flow_refused) < bound);
}

BOOST_AUTO_TEST_CASE(load_is_balanced_across_hosts)
{
    virtual_flow_fleet fleet(small_fleet(), 5);
    run_with_fault(
        fleet, [](virtual_flow_fleet&) {}, 0.6);
    BOOST_TEST(fleet.imbalance("meetups") <= 1.15);
}

BOOST_AUTO_TEST_CASE(runs_with_the_same_seed_are_identical)
{
    std::array<std::uint64_t, 2> counts{};
    for (auto& count : counts)
    {
        virtual_flow_fleet fleet(small_fleet(), 9);
        run_with_fault(
            fleet, [](virtual_flow_fleet& item) { item.kill_entry(1, 0ms); },
            0.3);
        count = fleet.control_messages();
    }
    BOOST_TEST(counts[0] == counts[1]);
}

BOOST_AUTO_TEST_SUITE_END()
