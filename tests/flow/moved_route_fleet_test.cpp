// Routes that move to another service while their flows stay, and planned
// restarts of entries and companions.

#include "virtual_flow_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

constexpr endpoint moved_target{0xC6120001, 443};
constexpr std::uint32_t hosts_per_service = 3;
constexpr std::size_t companion_count = 3 * hosts_per_service;
constexpr std::size_t entry_count = 3;

/// Services without a route once the first one has moved away, beside others.
fleet_shape three_services()
{
    fleet_shape shape;
    shape.entries = entry_count;
    shape.services = {
        {"orders", hosts_per_service, moved_target, request_kind::safe},
        {"archive", hosts_per_service, {0xC6120002, 443}, request_kind::safe},
        {"depot", hosts_per_service, {0xC6120003, 443}, request_kind::safe}};
    return shape;
}

/// Callers that keep their flows and pause between requests.
std::vector<request_class> long_flows()
{
    request_class orders;
    orders.name = "orders";
    orders.target = moved_target;
    orders.per_second = 40;
    orders.time_limit = 5'000ms;
    return {orders};
}

/// Services to which the route moves, 500 ms apart.
struct move_case
{
    const char* name;
    std::vector<const char*> services;
};

std::ostream& operator<<(std::ostream& stream, const move_case& value)
{
    return stream << value.name;
}

const std::vector<move_case> move_cases{
    {"once", {"archive"}},
    {"twice", {"archive", "depot"}},
    {"there_and_back", {"archive", "orders"}},
    {"there_and_back_and_on", {"archive", "orders", "depot"}}};

enum class process_kind
{
    entry,
    companion
};

/// A group of processes that are stopped and started in turn.
struct restart_series
{
    process_kind kind;
    std::chrono::milliseconds begin;
    std::chrono::milliseconds gap;
};

struct restart_case
{
    const char* name;
    /// When the route begins to move.
    std::chrono::milliseconds moved_at;
    std::vector<restart_series> series;
};

std::ostream& operator<<(std::ostream& stream, const restart_case& value)
{
    return stream << value.name;
}

const std::vector<restart_case> restart_cases{
    {"companions_then_entries",
     4s,
     {{process_kind::companion, 8s, 1'800ms},
      {process_kind::entry, 25s, 2'500ms}}},
    {"entries_then_companions",
     4s,
     {{process_kind::entry, 8s, 2'500ms},
      {process_kind::companion, 16s, 1'800ms}}},
    {"both_in_turn",
     4s,
     {{process_kind::companion, 8s, 1'800ms},
      {process_kind::entry, 9s, 5'000ms}}},
    {"entries_twice",
     4s,
     {{process_kind::companion, 8s, 1'800ms},
      {process_kind::entry, 14s, 2'500ms},
      {process_kind::entry, 24s, 2'500ms}}},
    {"moved_between_the_restarts",
     18s,
     {{process_kind::companion, 4s, 1'500ms},
      {process_kind::entry, 21s, 2'500ms}}}};

constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};

void schedule(virtual_flow_fleet& fleet, const restart_series& series)
{
    const bool is_entry = series.kind == process_kind::entry;
    const std::size_t count = is_entry ? entry_count : companion_count;
    for (std::size_t i = 0; i < count; ++i)
    {
        fleet.at(
            series.begin + i * series.gap,
            [&fleet, is_entry, i]
            {
                if (is_entry)
                {
                    fleet.stop_entry(i);
                }
                else
                {
                    fleet.stop_companion(i);
                }
            });
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(flow_fleet_moved_route)

// Guards against flows of a moved route whose packets go to the hosts of its
// new service and not to their own.
BOOST_DATA_TEST_CASE(
    flows_of_a_moved_route_reach_their_own_hosts_through_planned_restarts,
    boost::unit_test::data::make(move_cases) *
        boost::unit_test::data::make(restart_cases) *
        boost::unit_test::data::make(seeds),
    moves,
    restarts,
    seed)
{
    virtual_flow_fleet fleet(three_services(), seed);
    fleet.start_load(long_flows(), 36s);
    for (std::size_t i = 0; i < moves.services.size(); ++i)
    {
        const std::string service = moves.services[i];
        fleet.at(
            restarts.moved_at + i * 500ms,
            [&fleet, service] { fleet.move_route(moved_target, service); });
    }
    for (const restart_series& series : restarts.series)
    {
        schedule(fleet, series);
    }
    fleet.run(42s);

    for (const std::string& violation : fleet.violations())
    {
        BOOST_ERROR(violation);
    }
    const class_result& result = fleet.callers().results().at("orders");
    BOOST_TEST(result.asked > 0U);
    BOOST_TEST(result.failed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
