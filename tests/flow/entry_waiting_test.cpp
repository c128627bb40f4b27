// Openings that wait for capacity at an entry: who is refused early, and who
// must not be.

#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

/// Number of openings that wait longer than the caller does at 100 requests a
/// second: 40 % of the time limit of 1 s is 400 ms, or 41 openings with the one
/// that goes next.
constexpr std::uint16_t served_in_time = 41;

/// A report of a full companion that finishes 100 requests a second.
companion_report full_report(std::uint16_t number)
{
    companion_report report = ready_report(number, 12);
    report.load.concurrency = 3;
    report.load.refusal = result_code::not_run_overloaded;
    report.load.request_time = 30ms;
    report.load.request_samples = 50;
    report.load.finished_per_second = 95;
    report.entry_count = 1;
    return report;
}

struct full_service_fixture : entry_fixture
{
    full_service_fixture()
    {
        core.on_policy(at(0ms), test_policy(7));
        core.on_message(at(0ms), companion(1), full_report(1));
    }

    /// Flows to `test_target` open, each followed by the tick that the core
    /// asks for.
    void open(std::uint16_t count, std::uint32_t copy_number = 0)
    {
        for (std::uint16_t i = 0; i < count; ++i)
        {
            flow_packet packet = opening_packet(test_flow(i));
            packet.acknowledged = copy_number;
            core.on_caller_packet(at(1ms), packet);
            core.on_tick(at(1ms));
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_waiting)

BOOST_FIXTURE_TEST_CASE(
    an_opening_that_cannot_be_served_is_refused_at_once, full_service_fixture)
{
    open(served_in_time);
    BOOST_TEST(output.resets.empty());

    open(served_in_time + 1);

    BOOST_REQUIRE(output.resets.size() == 1U);
    BOOST_TEST((output.resets[0] == test_flow(served_in_time)));
    const flow_event& event = events.events.back();
    BOOST_TEST((event.kind == flow_event_kind::flow_rejected));
    BOOST_TEST((event.code == result_code::not_run_wait_too_long));
    BOOST_TEST((event.elapsed == 0ms));
}

// Guards against a route without a target being refused as if it were late.
BOOST_FIXTURE_TEST_CASE(
    a_route_without_a_target_waits_up_to_its_limit, full_service_fixture)
{
    for (std::uint16_t i = 0; i < 30; ++i)
    {
        core.on_caller_packet(at(1ms + i * 1ms), opening_packet(test_flow(i)));
        core.on_tick(at(1ms + i * 1ms));
    }
    BOOST_TEST(output.resets.empty());
}

// Guards against a refusal that an operator cannot explain.
BOOST_AUTO_TEST_CASE(a_refusal_names_the_wait_and_the_rate_with_its_age)
{
    std::string detail;
    struct detail_sink final : flow_event_sink
    {
        explicit detail_sink(std::string& text) : text(text)
        {
        }
        void on_event(time_point, const flow_event& event) override
        {
            this->text = event.detail;
        }
        std::string& text;
    } sink(detail);
    recording_entry_output output;
    entry_flow_core core({"kgl-nyr", 1'000}, output, sink);
    core.on_policy(at(0ms), test_policy(7));
    core.on_message(at(0ms), companion(1), full_report(1));
    for (std::uint16_t i = 0; i <= served_in_time; ++i)
    {
        core.on_caller_packet(at(10ms), opening_packet(test_flow(i)));
        core.on_tick(at(10ms));
    }
    BOOST_TEST(
        detail == "waited_for=not_run_overloaded wait_ms=410 ahead=41 "
                  "overtaken=0 entries=1 rate=100 "
                  "rate_age_ms=10 request_ms=30");
}

// Guards against a reset of a flow that another entry has opened.
namespace
{

/// A companion's load, and how many openings an entry places there.
struct free_places_case
{
    const char* name;
    std::uint32_t in_flight;
    std::uint32_t limit;
    std::size_t placed;
};

std::ostream& operator<<(std::ostream& stream, const free_places_case& item)
{
    return stream << item.name;
}

const std::vector<free_places_case> free_places_cases{
    {"two places are free", 3, 5, 2},
    {"nothing is in flight", 0, 5, 5},
    {"more is in flight than it admits now", 9, 5, 1},
    {"it has not stated its limit", 9, 0, 3}};

} // namespace

// With half of the room that callers need, openings beyond the places would be
// refused by the companion and lose their turn.
BOOST_DATA_TEST_CASE_F(
    full_service_fixture,
    waiting_openings_take_no_more_places_than_the_companion_states,
    boost::unit_test::data::make(free_places_cases),
    item)
{
    open(20);
    BOOST_TEST(output.packets.empty());

    companion_report report = full_report(1);
    report.load.refusal = result_code::done;
    report.load.in_flight = item.in_flight;
    report.load.in_flight_limit = item.limit;
    core.on_message(at(2ms), companion(1), report);
    core.on_tick(at(2ms));
    BOOST_TEST(output.packets.size() == item.placed);
}

BOOST_FIXTURE_TEST_CASE(a_copy_is_not_refused_early, full_service_fixture)
{
    open(served_in_time + 5, 1);
    BOOST_TEST(output.resets.empty());
    BOOST_TEST(events.count(flow_event_kind::packet_dropped) == 0U);
}

BOOST_FIXTURE_TEST_CASE(
    nothing_is_refused_early_without_a_measurement, full_service_fixture)
{
    companion_report unmeasured = full_report(1);
    unmeasured.load.request_samples = 0;
    core.on_message(at(0ms), companion(1), unmeasured);
    open(served_in_time + 5);
    BOOST_TEST(output.resets.empty());
}

// The reports of an isolated entry are old, and its callers' copies may have
// been opened by another entry.
BOOST_FIXTURE_TEST_CASE(
    an_isolated_entry_refuses_nothing_early, full_service_fixture)
{
    core.on_tick(at(250ms));
    core.on_tick(at(700ms));
    BOOST_REQUIRE(events.count(flow_event_kind::companions_lost) == 1U);
    for (std::uint16_t i = 0; i < served_in_time + 5; ++i)
    {
        core.on_caller_packet(at(710ms), opening_packet(test_flow(i)));
        core.on_tick(at(710ms));
    }
    BOOST_TEST(output.resets.empty());
}

// Guards against all waiting openings being sent to a companion with one free
// place, which refuses them: then the order and the refusals do not hold.
BOOST_FIXTURE_TEST_CASE(
    waiting_openings_are_placed_as_far_as_a_companion_has_room,
    full_service_fixture)
{
    open(20);
    companion_report report = full_report(1);
    report.load.refusal = result_code::done;
    report.load.in_flight = 11;
    core.on_message(at(2ms), companion(1), report);
    core.on_tick(at(2ms));
    BOOST_TEST(output.packets.size() == 1U);

    report.load.in_flight = 5;
    core.on_message(at(3ms), companion(1), report);
    core.on_tick(at(3ms));
    BOOST_TEST(output.packets.size() == 8U);
}

BOOST_FIXTURE_TEST_CASE(
    an_opening_is_placed_at_once_while_another_service_is_full,
    full_service_fixture)
{
    core.on_message(at(0ms), companion(2), report_of_service(2, "papers"));
    open(served_in_time);
    output.packets.clear();

    core.on_caller_packet(at(2ms), opening_packet({{1, 2}, other_target}));

    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(2)));
}

// Guards against a delay or a refusal while there is capacity.
BOOST_FIXTURE_TEST_CASE(
    openings_are_placed_at_once_while_a_companion_accepts_them, entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    companion_report report = full_report(1);
    report.load.refusal = result_code::done;
    core.on_message(at(0ms), companion(1), report);
    for (std::uint16_t i = 0; i < 100; ++i)
    {
        core.on_caller_packet(at(1ms), opening_packet(test_flow(i)));
    }
    BOOST_TEST(output.packets.size() == 100U);
    BOOST_TEST(output.resets.empty());
}

BOOST_AUTO_TEST_SUITE_END()
