// Placement, retries and readiness of an entry on the layer-4 path.

#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(entry_flow)

BOOST_FIXTURE_TEST_CASE(is_ready_with_a_policy_and_a_companion, entry_fixture)
{
    BOOST_TEST(!core.is_ready(at(0ms)));
    core.on_policy(at(0ms), test_policy(7));
    BOOST_TEST(!core.is_ready(at(0ms)));
    core.on_message(at(0ms), companion(1), ready_report(1));
    BOOST_TEST(core.is_ready(at(0ms)));
}

BOOST_FIXTURE_TEST_CASE(
    an_opening_goes_to_the_least_loaded_companion, entry_fixture)
{
    make_ready(3);
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(1)));
}

BOOST_FIXTURE_TEST_CASE(
    own_placements_count_towards_load_before_the_next_report, entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_message(at(0ms), companion(1), ready_report(1));
    core.on_message(at(0ms), companion(2), ready_report(2));
    for (std::uint16_t i = 0; i < 10; ++i)
    {
        core.on_caller_packet(at(1ms), opening_packet(test_flow(i)));
    }
    const auto first = std::count(
        output.packets.begin(), output.packets.end(),
        companion_packet_address(1));
    BOOST_TEST(first == 5);
}

BOOST_FIXTURE_TEST_CASE(
    a_refused_opening_goes_to_the_next_companion, entry_fixture)
{
    make_ready(2);
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    core.on_message(
        at(2ms), companion(1),
        flow_refused{test_flow(1), result_code::not_run_upstream_cold, {}});
    BOOST_REQUIRE(output.packets.size() == 2U);
    BOOST_TEST(
        to_string(output.packets[1]) == to_string(companion_packet_address(2)));
}

BOOST_FIXTURE_TEST_CASE(
    the_caller_is_reset_at_once_if_all_companions_refuse_as_leaving,
    entry_fixture)
{
    make_ready(2);
    upstream_load leaving;
    leaving.refusal = result_code::not_run_upstream_leaving;
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    for (const std::uint16_t i : {1, 2})
    {
        core.on_message(
            at(2ms), companion(i),
            flow_refused{test_flow(1), leaving.refusal, leaving});
    }
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_opening_waits_while_companions_are_cold_and_full, entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    companion_report full = ready_report(1);
    full.load.is_cold = true;
    core.on_message(at(0ms), companion(1), full);
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    BOOST_TEST(output.packets.empty());
    BOOST_TEST(output.resets.empty());

    full.load.cold_capacity = 1;
    core.on_message(at(30ms), companion(1), full);
    core.on_tick(at(40ms));

    BOOST_TEST(output.packets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_opening_waits_at_most_its_share_of_the_time_limit, entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    companion_report full = ready_report(1);
    full.load.refusal = result_code::not_run_no_upstream;
    core.on_message(at(0ms), companion(1), full);
    core.on_caller_packet(at(0ms), opening_packet(test_flow(1)));
    for (auto now = 0ms; now <= 420ms; now += 20ms)
    {
        BOOST_TEST(output.resets.size() == (now > 400ms ? 1U : 0U));
        core.on_tick(at(now));
    }
    BOOST_TEST(output.resets.size() == 1U);
}

// After a loss of all power entries know the policy before any companion has
// registered again.
BOOST_FIXTURE_TEST_CASE(
    an_opening_waits_while_a_started_entry_discovers_companions, entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    BOOST_TEST(output.resets.empty());

    core.on_message(at(200ms), companion(1), ready_report(1));
    core.on_tick(at(201ms));
    BOOST_TEST(output.packets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_opening_for_a_service_that_stays_unknown_is_rejected_at_once,
    entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_tick(at(3'000ms));
    core.on_caller_packet(at(3'001ms), opening_packet(test_flow(1)));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_opening_is_rejected_at_once_if_all_companions_report_leaving,
    entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    companion_report leaving = ready_report(1);
    leaving.load.refusal = result_code::not_run_upstream_leaving;
    core.on_message(at(0ms), companion(1), leaving);
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_flow_of_a_departed_upstream_is_reset_once_its_companion_stops,
    entry_fixture)
{
    make_ready(2);
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    companion_report report = ready_report(1);
    report.has_left = true;
    core.on_message(at(2ms), companion(1), report);
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'001, 2));
    BOOST_TEST(output.resets.empty());

    report.is_stopping = true;
    core.on_message(at(400ms), companion(1), report);
    core.on_caller_packet(at(401ms), data_packet(test_flow(1), 1'101, 2));
    answer_absent(402ms, {2}, test_flow(1));
    BOOST_TEST(output.resets.size() == 1U);
}

// A lookup does not reach all companions of a service of this size.
BOOST_FIXTURE_TEST_CASE(
    a_flow_of_a_departed_upstream_of_a_large_service_is_reset, entry_fixture)
{
    make_ready(300);
    core.on_message(at(1ms), companion(5), flow_opened{test_flow(1), 1, {}});
    companion_report report = ready_report(5);
    report.has_left = true;
    report.is_stopping = true;
    core.on_message(at(2ms), companion(5), report);
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'001, 2));
    for (std::size_t i = 0; i < output.sent.size(); ++i)
    {
        core.on_message(
            at(4ms), output.sent[i].to,
            answer_to(test_flow(1), ownership::absent));
    }
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_flow_without_forwarded_packets_on_a_departed_upstream_is_looked_up,
    entry_fixture)
{
    make_ready(2);
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    companion_report report = ready_report(1);
    report.has_left = true;
    report.is_stopping = true;
    core.on_message(at(2'000ms), companion(1), report);
    core.on_message(at(2'000ms), companion(2), ready_report(2));

    core.on_caller_packet(at(2'001ms), data_packet(test_flow(1), 1'101, 2));
    core.on_message(
        at(2'002ms), companion(2), answer_to(test_flow(1), ownership::owned));

    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(2)));
}

BOOST_FIXTURE_TEST_CASE(an_isolated_entry_resets_no_flows, entry_fixture)
{
    make_ready(2);
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    core.on_caller_packet(at(5'000ms), data_packet(test_flow(1), 1'001, 2));
    BOOST_TEST(output.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(
    no_reset_while_a_companion_that_was_tried_has_not_answered, entry_fixture)
{
    make_ready(2);
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    core.on_tick(at(150ms));
    BOOST_REQUIRE(output.packets.size() == 2U);
    core.on_message(
        at(160ms), companion(2),
        flow_refused{test_flow(1), result_code::not_run_overloaded, {}});
    BOOST_TEST(output.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(
    an_unanswered_opening_is_moved_before_the_caller_retransmits, entry_fixture)
{
    make_ready(2);
    core.on_caller_packet(at(0ms), opening_packet(test_flow(1)));
    BOOST_REQUIRE(core.next_deadline().has_value());
    BOOST_TEST((*core.next_deadline() < at(200ms)));
    core.on_tick(*core.next_deadline());
    BOOST_TEST(output.packets.size() == 2U);
    BOOST_TEST(events.count(flow_event_kind::flow_moved) == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    later_packets_follow_the_confirmed_companion, entry_fixture)
{
    make_ready(3);
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    core.on_message(at(3ms), companion(2), flow_opened{test_flow(1), 1, {}});
    core.on_caller_packet(at(4ms), data_packet(test_flow(1), 1'001, 2));
    BOOST_TEST(
        to_string(output.packets.back()) ==
        to_string(companion_packet_address(2)));
}

BOOST_FIXTURE_TEST_CASE(an_opening_without_a_route_is_reset, entry_fixture)
{
    make_ready(1);
    flow_endpoints flow = test_flow(1);
    flow.target = {9, 9};
    core.on_caller_packet(at(1ms), opening_packet(flow));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_open_flow_is_not_reset_by_a_policy_that_never_had_its_route,
    entry_fixture)
{
    make_ready(1);
    flow_endpoints flow = test_flow(1);
    flow.target = {9, 9};
    core.on_caller_packet(at(1ms), data_packet(flow, 1'001, 2));
    BOOST_TEST(output.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(
    an_open_flow_is_reset_once_its_route_is_removed, entry_fixture)
{
    make_ready(1);
    configuration value = test_policy(8)->value();
    std::erase_if(
        value.routes, [](const route_definition& route)
        { return route.address == test_target; });
    core.on_policy(
        at(1ms),
        std::make_shared<policy>(store_position{0, 8}, std::move(value)));
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(no_flow_is_placed_in_a_withdrawn_domain, entry_fixture)
{
    make_ready(2);
    core.on_policy(at(1ms), test_policy(8, {"kgl-nyr"}));
    core.on_caller_packet(at(2ms), opening_packet(test_flow(1)));
    BOOST_TEST(output.packets.empty());
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_with_a_newer_policy_is_asked_for_it, entry_fixture)
{
    make_ready(1);
    companion_report report = ready_report(1);
    report.policy.position.revision = 9;
    core.on_message(at(1ms), companion(1), report);
    BOOST_TEST(output.fetches.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_silent_companion_gets_no_openings_until_it_reports_again, entry_fixture)
{
    make_ready(2);
    for (auto now = 0ms; now < 3'000ms; now += 250ms)
    {
        core.on_message(at(now), companion(2), ready_report(2, 9));
        core.on_tick(at(now));
    }
    core.on_caller_packet(at(3'000ms), opening_packet(test_flow(1)));
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(2)));
    BOOST_TEST(events.count(flow_event_kind::member_silent) == 1U);

    core.on_message(at(3'010ms), companion(1), ready_report(1));
    BOOST_TEST(events.count(flow_event_kind::member_returned) == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_address_that_serves_another_service_is_a_new_companion, entry_fixture)
{
    make_ready(1);
    companion_report report = ready_report(1);
    report.service = "papers";
    core.on_message(at(1ms), companion(1), report);
    core.on_caller_packet(at(2ms), opening_packet(test_flow(1)));
    BOOST_TEST(output.packets.empty());
}

BOOST_FIXTURE_TEST_CASE(
    the_same_policy_at_a_newer_revision_is_not_fetched, entry_fixture)
{
    make_ready(1);
    companion_report report = ready_report(1);
    report.policy.position.revision = 9;
    report.policy.digest = core.current_policy().digest();
    core.on_message(at(1ms), companion(1), report);
    BOOST_TEST(output.fetches.empty());
    BOOST_TEST(core.current_policy().position().revision == 9U);
}

BOOST_FIXTURE_TEST_CASE(
    many_waiting_openings_cost_one_try_at_a_full_companion, entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    companion_report full = ready_report(1);
    full.load.refusal = result_code::not_run_overloaded;
    core.on_message(at(0ms), companion(1), full);
    for (std::uint16_t i = 0; i < 50; ++i)
    {
        core.on_caller_packet(at(0ms), opening_packet(test_flow(i)));
    }
    core.on_tick(at(20ms));
    BOOST_TEST(output.packets.empty());

    core.on_tick(at(60ms));
    core.on_tick(at(80ms));

    BOOST_TEST(output.packets.size() == 1U);
}

// Openings behind others in the queue are not tried at a companion.
BOOST_AUTO_TEST_CASE(
    a_rejection_after_waiting_names_what_the_opening_waited_for)
{
    const auto rejection_of = [](const upstream_load& load)
    {
        entry_fixture entry;
        companion_report report = ready_report(1);
        report.load = load;
        entry.core.on_policy(at(0ms), test_policy(7));
        entry.core.on_message(at(0ms), companion(1), report);
        entry.core.on_caller_packet(at(0ms), opening_packet(test_flow(1)));
        for (auto now = 20ms; now <= 5'000ms; now += 20ms)
        {
            entry.core.on_message(at(now), companion(1), report);
            entry.core.on_tick(at(now));
        }
        BOOST_TEST(entry.output.packets.empty());
        BOOST_REQUIRE(entry.events.count(flow_event_kind::flow_rejected) == 1U);
        return entry.events.events.back().code;
    };
    upstream_load load = ready_report(1).load;
    load.refusal = result_code::not_run_overloaded;
    BOOST_TEST((rejection_of(load) == result_code::not_run_overloaded));
    load.refusal = result_code::not_run_no_upstream;
    BOOST_TEST((rejection_of(load) == result_code::not_run_no_upstream));
    load.refusal = result_code::done;
    load.is_cold = true;
    load.cold_capacity = 0;
    BOOST_TEST((rejection_of(load) == result_code::not_run_upstream_cold));
}

BOOST_FIXTURE_TEST_CASE(
    a_report_of_free_capacity_places_waiting_openings_at_once, entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    companion_report full = ready_report(1);
    full.load.refusal = result_code::not_run_overloaded;
    core.on_message(at(0ms), companion(1), full);
    core.on_caller_packet(at(0ms), opening_packet(test_flow(1)));

    core.on_message(at(5ms), companion(1), ready_report(1));

    BOOST_REQUIRE(core.next_deadline().has_value());
    BOOST_TEST((*core.next_deadline() == at(5ms)));
    core.on_tick(at(5ms));
    BOOST_TEST(output.packets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_entry_without_responding_companions_is_not_ready, entry_fixture)
{
    make_ready(2);
    for (auto now = 0ms; now <= 1'000ms; now += 250ms)
    {
        core.on_tick(at(now));
    }
    BOOST_TEST(!core.is_ready(at(1'000ms)));
    BOOST_TEST(events.count(flow_event_kind::companions_lost) == 1U);

    core.on_message(at(1'010ms), companion(2), ready_report(2));
    core.on_tick(at(1'250ms));

    BOOST_TEST(core.is_ready(at(1'250ms)));
    BOOST_TEST(events.count(flow_event_kind::companions_found) == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_entry_is_ready_while_one_companion_responds, entry_fixture)
{
    make_ready(3);
    for (auto now = 0ms; now <= 5'000ms; now += 250ms)
    {
        core.on_tick(at(now));
        core.on_message(at(now + 1ms), companion(3), ready_report(3));
        BOOST_TEST(core.is_ready(at(now + 240ms)), "after " << now.count());
    }
}

/// Readiness of an entry that receives reports only from the companion in its
/// own failure domain.
struct reachability_case
{
    const char* name;
    std::vector<std::string> withdrawn;
    const char* other_service;
    bool is_ready;
};

std::ostream& operator<<(std::ostream& stream, const reachability_case& value)
{
    return stream << value.name;
}

const std::vector<reachability_case> reachability_cases{
    {"the_local_companion_serves", {}, "meetups", true},
    {"the_local_domain_is_withdrawn", {"kgl-nyr"}, "meetups", false},
    {"both_domains_are_withdrawn", {"kgl-nyr", "kgl-gas"}, "meetups", true},
    {"the_other_service_is_unreachable", {}, "papers", false}};

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    an_entry_is_ready_if_every_service_is_reachable,
    boost::unit_test::data::make(reachability_cases),
    item)
{
    core.on_policy(at(0ms), test_policy(7, item.withdrawn));
    companion_report remote = ready_report(2);
    remote.failure_domain = "kgl-gas";
    remote.service = item.other_service;
    core.on_message(at(0ms), companion(2), remote);
    for (auto now = 0ms; now <= 4'000ms; now += 250ms)
    {
        core.on_message(at(now), companion(1), ready_report(1));
        core.on_tick(at(now));
    }
    core.on_message(at(4'001ms), companion(1), ready_report(1));
    BOOST_TEST(core.is_ready(at(4'010ms)) == item.is_ready);
}

BOOST_AUTO_TEST_SUITE_END()
