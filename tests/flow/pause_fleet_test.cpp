// Processes that are suspended and then read all that has arrived meanwhile:
// none acts on a permission that ran out while it slept.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t host = 0;
constexpr std::uint32_t domain = 0;

/// Processes that are suspended.
struct pause_case
{
    const char* name;
    std::function<void(virtual_flow_fleet&, std::chrono::milliseconds)> apply;
};

/// What changes 300 ms after the suspension has begun.
struct change_case
{
    const char* name;
    std::function<void(virtual_flow_fleet&)> apply;
};

std::ostream& operator<<(std::ostream& stream, const pause_case& value)
{
    return stream << value.name;
}

std::ostream& operator<<(std::ostream& stream, const change_case& value)
{
    return stream << value.name;
}

const std::vector<pause_case> pause_cases{
    {"an_entry",
     [](virtual_flow_fleet& fleet, std::chrono::milliseconds time)
     {
         fleet.freeze_entry(0, time);
     }},
    {"a_companion",
     [](virtual_flow_fleet& fleet, std::chrono::milliseconds time)
     {
         fleet.freeze_companion(host, time);
     }},
    {"an_entry_and_a_companion",
     [](virtual_flow_fleet& fleet, std::chrono::milliseconds time)
     {
         fleet.freeze_entry(0, time);
         fleet.freeze_companion(host, time);
     }}};

const std::vector<change_case> change_cases{
    {"the_domain_is_withdrawn",
     [](virtual_flow_fleet& fleet)
     {
         fleet.withdraw(domain);
     }},
    {"the_host_leaves",
     [](virtual_flow_fleet& fleet)
     {
         fleet.drain_host(host, 3s);
     }},
    {"the_host_returns_cold",
     [](virtual_flow_fleet& fleet)
     {
         fleet.crash_host(host, 500ms);
     }},
    {"leases_end", [](virtual_flow_fleet& fleet)
     {
         fleet.stop_store_and_end_leases(4s);
     }}};

const std::vector<int> pauses_ms{1'000, 3'000, 10'000};
const std::vector<int> silences_ms{500,   1'000, 1'500, 2'000,
                                   3'000, 4'000, 5'000};
constexpr std::array<std::uint64_t, 2> seeds{1, 2};
constexpr std::array<double, 2> loads{0.35, 1.05};

void require_no_violation(const virtual_flow_fleet& fleet)
{
    for (const std::string& text : fleet.violations())
    {
        BOOST_TEST_MESSAGE(text);
    }
    BOOST_TEST(fleet.violations().size() == 0U);
}

/// Number of unsafe requests that hosts executed more than once.
std::size_t repeated_runs(const virtual_flow_fleet& fleet)
{
    std::map<std::uint64_t, int> total;
    for (std::size_t i = 0; i < fleet.host_count(); ++i)
    {
        for (const auto& [request, count] : fleet.host(i).runs)
        {
            total[request] += count;
        }
    }
    std::size_t result = 0;
    for (const auto& [request, count] : total)
    {
        result += count > 1 && !fleet.callers().is_idempotent(request) ? 1 : 0;
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet_pause)

BOOST_DATA_TEST_CASE(
    no_permission_is_used_that_ran_out_meanwhile,
    boost::unit_test::data::make(pause_cases) *
        boost::unit_test::data::make(change_cases) *
        boost::unit_test::data::make(pauses_ms) *
        boost::unit_test::data::make(loads) *
        boost::unit_test::data::make(seeds),
    paused,
    change,
    pause_ms,
    load,
    seed)
{
    fleet_shape shape = small_fleet();
    shape.cold_flows_per_second = 4;
    virtual_flow_fleet fleet(shape, seed);
    const std::chrono::milliseconds pause{pause_ms};
    fleet.start_load(small_load(load), 18s);
    fleet.at(3s, [&] { paused.apply(fleet, pause); });
    fleet.at(3'300ms, [&] { change.apply(fleet); });
    fleet.run(20s);

    require_no_violation(fleet);
    BOOST_TEST(repeated_runs(fleet) == 0U);
}

BOOST_DATA_TEST_CASE(
    work_of_a_silent_companion_is_neither_reset_nor_run_again,
    boost::unit_test::data::make(silences_ms) *
        boost::unit_test::data::make(loads) *
        boost::unit_test::data::make(seeds),
    silence_ms,
    load,
    seed)
{
    virtual_flow_fleet fleet(small_fleet(), seed);
    const std::chrono::milliseconds silence{silence_ms};
    fleet.start_load(small_load(load), 12s);
    fleet.at(3s, [&] { fleet.freeze_companion(host, silence); });
    fleet.run(15s);

    require_no_violation(fleet);
    BOOST_TEST(repeated_runs(fleet) == 0U);
    BOOST_TEST(fleet.count(flow_event_kind::flow_reset) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
