// Admission, flow ownership and in-flight accounting of a companion on the
// layer-4 path.

#include "companion_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(companion_flow)

struct admission_case
{
    const char* name;
    bool has_policy;
    bool has_status;
    bool is_draining;
    bool is_withdrawn;
    endpoint target;
    result_code expected;
};

std::ostream& operator<<(std::ostream& stream, const admission_case& value)
{
    return stream << value.name;
}

const std::vector<admission_case> admission_cases{
    {"accepts", true, true, false, false, test_target, result_code::done},
    {"needs_a_policy", false, true, false, false, test_target,
     result_code::not_run_no_configuration},
    {"needs_a_status", true, false, false, false, test_target,
     result_code::not_run_no_upstream},
    {"refuses_while_draining", true, true, true, false, test_target,
     result_code::not_run_upstream_leaving},
    {"refuses_in_a_withdrawn_domain", true, true, false, true, test_target,
     result_code::not_run_domain_withdrawn},
    {"refuses_another_service", true, true, false, false, other_target,
     result_code::dropped_wrong_service},
    {"refuses_an_unknown_address",
     true,
     true,
     false,
     false,
     {1, 1},
     result_code::not_run_no_route}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    admits_an_opening_only_if_all_conditions_hold,
    boost::unit_test::data::make(admission_cases),
    item)
{
    if (item.has_policy)
    {
        const std::vector<std::string> withdrawn{"kgl-nyr"};
        core.on_policy(
            at(0ms),
            item.is_withdrawn ? test_policy(7, withdrawn) : test_policy(7));
    }
    if (item.has_status)
    {
        upstream_status status = ready_status(1);
        status.is_draining = item.is_draining;
        core.on_status(at(0ms), status);
    }
    flow_endpoints flow = test_flow(1);
    flow.target = item.target;

    core.on_caller_packet(at(10ms), entry, opening_packet(flow));

    BOOST_TEST(to_string(refusal()) == to_string(item.expected));
    BOOST_TEST(
        output.to_upstream == (item.expected == result_code::done ? 1U : 0U));
}

BOOST_FIXTURE_TEST_CASE(
    an_older_policy_never_replaces_a_newer, companion_fixture)
{
    core.on_policy(at(0ms), test_policy(9, {"kgl-nyr"}));
    core.on_policy(at(1ms), test_policy(8));
    BOOST_TEST(core.current_policy().position().revision == 9U);
}

BOOST_FIXTURE_TEST_CASE(a_late_status_does_not_undo_a_drain, companion_fixture)
{
    make_ready();
    upstream_status draining = ready_status(5);
    draining.is_draining = true;
    core.on_status(at(10ms), draining);

    BOOST_TEST((
        core.on_status(at(20ms), ready_status(4)) == status_outcome::outdated));

    core.on_caller_packet(at(30ms), entry, opening_packet(test_flow(1)));
    BOOST_TEST(
        to_string(refusal()) ==
        to_string(result_code::not_run_upstream_leaving));
}

BOOST_FIXTURE_TEST_CASE(
    a_status_of_an_earlier_incarnation_is_outdated, companion_fixture)
{
    make_ready();
    upstream_status restarted = ready_status(1);
    restarted.incarnation.started = 2'000'000ms;
    BOOST_TEST(
        (core.on_status(at(10ms), restarted) == status_outcome::accepted));
    BOOST_TEST((
        core.on_status(at(20ms), ready_status(9)) == status_outcome::outdated));
    BOOST_TEST(
        core.upstream().status()->incarnation.started.count() == 2'000'000);
}

BOOST_FIXTURE_TEST_CASE(
    openings_are_refused_after_the_upstream_departs, companion_fixture)
{
    make_ready();
    BOOST_TEST(core.on_departure(at(10ms), {"i-1", 0ms}));
    core.on_caller_packet(at(20ms), entry, opening_packet(test_flow(1)));
    BOOST_TEST(output.to_upstream == 0U);
}

BOOST_FIXTURE_TEST_CASE(
    packets_of_open_flows_pass_while_openings_are_refused, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    upstream_status draining = ready_status(2);
    draining.is_draining = true;
    core.on_status(at(20ms), draining);
    const std::size_t before = output.to_upstream;

    core.on_caller_packet(
        at(30ms), entry, data_packet(test_flow(1), 1'101, 5'001));

    BOOST_TEST(output.to_upstream == before + 1);
}

struct cold_case
{
    double rate;
    std::size_t expected;
};

std::ostream& operator<<(std::ostream& stream, const cold_case& value)
{
    return stream << value.rate << " a second";
}

const std::vector<cold_case> cold_cases{{4.0, 4}, {0.5, 1}, {9.9, 9}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_cold_upstream_is_limited_to_its_cold_rate,
    boost::unit_test::data::make(cold_cases),
    item)
{
    core.on_policy(at(0ms), test_policy(7, {}, item.rate));
    upstream_status status = ready_status(1);
    status.cold_for = 2'000ms;
    core.on_status(at(0ms), status);

    for (std::uint16_t i = 0; i < 40; ++i)
    {
        core.on_caller_packet(
            at(i * 20ms), entry, opening_packet(test_flow(i)));
    }

    BOOST_TEST(output.to_upstream == item.expected);
}

BOOST_FIXTURE_TEST_CASE(
    a_cold_upstream_without_a_cold_rate_is_limited_by_its_slots,
    companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7, {}, 0));
    upstream_status status = ready_status(1);
    status.cold_for = 2'000ms;
    core.on_status(at(0ms), status);

    for (std::uint16_t i = 0; i < 40; ++i)
    {
        open(test_flow(i), at(i * 10ms));
    }

    // No answer has shown yet that it sustains more than two for each slot.
    BOOST_TEST(core.load(at(400ms)).in_flight == 10U);
}

BOOST_FIXTURE_TEST_CASE(
    a_returned_domain_is_cold_until_the_next_status, companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7, {"kgl-nyr"}, 1.0));
    core.on_status(at(0ms), ready_status(1));
    core.on_policy(at(10ms), test_policy(8, {}, 1.0));
    BOOST_TEST(core.load(at(20ms)).is_cold);
    core.on_status(at(30ms), ready_status(2));
    BOOST_TEST(!core.load(at(40ms)).is_cold);
}

BOOST_FIXTURE_TEST_CASE(a_silent_upstream_gets_no_new_flow, companion_fixture)
{
    make_ready();
    core.on_caller_packet(at(10ms), entry, opening_packet(test_flow(1)));
    core.on_caller_packet(at(500ms), entry, opening_packet(test_flow(2)));
    BOOST_TEST(output.to_upstream == 1U);
    BOOST_TEST(
        to_string(refusal()) == to_string(result_code::not_run_no_upstream));
}

BOOST_FIXTURE_TEST_CASE(
    a_packet_of_an_unknown_flow_is_returned_to_the_entry, companion_fixture)
{
    make_ready();
    core.on_caller_packet(
        at(10ms), entry, data_packet(test_flow(1), 1'001, 77));
    BOOST_TEST(output.to_upstream == 0U);
    BOOST_TEST(messages_of<packet_returned>(output.sent).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_probes_the_upstream_for_an_unknown_flow,
    companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(40));
    const flow_packet packet = data_packet(test_flow(1), 1'001, 77);
    core.on_caller_packet(at(10ms), entry, packet);
    BOOST_TEST(output.to_upstream == 1U);

    core.on_upstream_packet(at(11ms), bounced(packet));

    BOOST_TEST(messages_of<packet_returned>(output.sent).size() == 1U);
    BOOST_TEST(output.resets.empty());
    core.on_caller_packet(at(12ms), entry, packet);
    BOOST_TEST(
        output.to_upstream == 1U, "the upstream was probed more than once");
}

BOOST_FIXTURE_TEST_CASE(
    a_flow_that_the_upstream_lost_is_reset, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    core.on_upstream_packet(
        at(20ms), bounced(data_packet(test_flow(1), 1'101, 5'001)));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_late_duplicate_opening_does_not_replace_the_open_flow, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    const std::size_t before = output.to_upstream;

    core.on_caller_packet(at(300ms), entry, opening_packet(test_flow(1)));
    for (auto now = 400ms; now <= 8'000ms; now += 200ms)
    {
        core.on_tick(at(now));
    }
    core.on_caller_packet(
        at(8'000ms), entry, data_packet(test_flow(1), 1'101, 5'001));

    BOOST_TEST(output.to_upstream == before + 1);
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
    BOOST_TEST(messages_of<flow_opened>(output.sent).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(
    a_packet_that_acknowledges_another_upstream_is_returned, companion_fixture)
{
    make_ready();
    core.on_caller_packet(at(10ms), entry, opening_packet(test_flow(1)));
    core.on_upstream_packet(
        at(11ms), accepting_packet(test_flow(1), upstream_sequence));
    core.on_caller_packet(
        at(12ms), entry, data_packet(test_flow(1), 1'001, 900'000));
    BOOST_TEST(output.to_upstream == 1U);
    BOOST_TEST(messages_of<packet_returned>(output.sent).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_bounced_opening_is_refused_to_the_entry, companion_fixture)
{
    make_ready();
    const flow_packet packet = opening_packet(test_flow(1));
    core.on_caller_packet(at(10ms), entry, packet);
    core.on_upstream_packet(at(11ms), bounced(packet));
    BOOST_TEST(
        to_string(refusal()) ==
        to_string(result_code::not_run_upstream_refused));
    BOOST_TEST(core.load(at(12ms)).in_flight == 0U);
}

BOOST_FIXTURE_TEST_CASE(
    in_flight_counts_requests_without_answer, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    BOOST_TEST(core.load(at(11ms)).in_flight == 1U);
    flow_packet answer = data_packet(test_flow(1), 5'001, 1'101);
    answer.origin = packet_origin::upstream;
    core.on_upstream_packet(at(40ms), answer);
    BOOST_TEST(core.load(at(41ms)).in_flight == 0U);
    BOOST_TEST(core.load(at(41ms)).open_flows == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_accepted_flow_without_data_soon_stops_counting_as_in_flight,
    companion_fixture)
{
    make_ready();
    core.on_caller_packet(at(10ms), entry, opening_packet(test_flow(1)));
    core.on_upstream_packet(
        at(11ms), accepting_packet(test_flow(1), upstream_sequence));
    BOOST_TEST(core.load(at(20ms)).in_flight == 1U);
    BOOST_TEST(core.load(at(100ms)).in_flight == 0U);
}

BOOST_FIXTURE_TEST_CASE(
    a_restart_of_the_upstream_clears_the_in_flight_count, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    upstream_status restarted = ready_status(1);
    restarted.incarnation.started = 2'000'000ms;
    core.on_status(at(20ms), restarted);
    BOOST_TEST(core.load(at(21ms)).in_flight == 0U);
}

BOOST_FIXTURE_TEST_CASE(
    a_hello_with_a_newer_policy_triggers_a_fetch, companion_fixture)
{
    make_ready();
    core.on_message(at(10ms), entry, entry_hello{mark_at(9), true});
    BOOST_TEST(output.fetches.size() == 1U);
    core.on_message(at(10ms), entry, entry_hello{mark_at(7), false});
    BOOST_TEST(output.fetches.size() == 1U);
    BOOST_TEST(output.not_listed == 1U);
}

struct ownership_case
{
    const char* name;
    bool observed_since_start;
    bool is_open;
    std::uint32_t acknowledged;
    ownership expected;
};

std::ostream& operator<<(std::ostream& stream, const ownership_case& value)
{
    return stream << value.name;
}

const std::vector<ownership_case> ownership_cases{
    {"open_on_this_upstream", true, true, 5'001, ownership::owned},
    {"never_opened", true, false, 5'001, ownership::absent},
    {"possibly_opened_before_the_restart", false, false, 5'001,
     ownership::uncertain}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    answers_owner_queries,
    boost::unit_test::data::make(ownership_cases),
    item)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(item.observed_since_start ? 1 : 50));
    if (item.is_open)
    {
        open(test_flow(1), at(10ms));
    }
    core.on_message(
        at(20ms), entry, owner_query{test_flow(1), item.acknowledged});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(
        static_cast<int>(answers[0].answer) == static_cast<int>(item.expected));
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_answers_with_the_owner_from_a_hint, companion_fixture)
{
    make_ready();
    const instance_id owner{77};
    core.on_message(at(10ms), entry, owner_hint{test_flow(1), owner});
    core.on_message(at(20ms), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::absent));
    BOOST_TEST((answers[0].owner == owner));
}

BOOST_FIXTURE_TEST_CASE(
    reports_the_largest_service_size_that_was_stated_recently,
    companion_fixture)
{
    make_ready();
    const instance_id other{entry.value + 1};
    const auto reported_size =
        [this](std::chrono::milliseconds now, instance_id from, unsigned stated)
    {
        output.sent.clear();
        core.on_message(at(now), from, entry_hello{mark_at(7), true, stated});
        return messages_of<companion_report>(output.sent).at(0).service_size;
    };
    BOOST_TEST(reported_size(0ms, entry, 7) == 7U);
    BOOST_TEST(reported_size(100ms, other, 6) == 7U);
    // A restarted entry does not know the number yet.
    BOOST_TEST(reported_size(1'000ms, entry, 0) == 7U);
    BOOST_TEST(reported_size(6'000ms, entry, 0) == 0U);
    BOOST_TEST(reported_size(6'100ms, entry, 6) == 6U);
}

// A number that does not count this companion would let it stand in for one
// that an entry does not know.
BOOST_FIXTURE_TEST_CASE(
    a_companion_that_returns_reports_no_number_from_before, companion_fixture)
{
    make_ready();
    const auto reported_size =
        [this](std::chrono::milliseconds now, unsigned stated)
    {
        output.sent.clear();
        core.on_message(at(now), entry, entry_hello{mark_at(7), true, stated});
        return messages_of<companion_report>(output.sent).at(0).service_size;
    };
    BOOST_TEST(reported_size(0ms, 7) == 7U);
    core.on_departure(at(10ms), {"i-1", 1'000'000ms});
    core.on_tick(at(250ms));
    BOOST_TEST(reported_size(300ms, 6) == 0U);

    upstream_status status = ready_status(1);
    status.incarnation.started = 2'000'000ms;
    core.on_status(at(400ms), status);
    BOOST_TEST(reported_size(410ms, 0) == 0U);
    BOOST_TEST(reported_size(420ms, 7) == 7U);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_that_returns_within_a_tick_reports_no_number_from_before,
    companion_fixture)
{
    make_ready();
    core.on_message(at(0ms), entry, entry_hello{mark_at(7), true, 7});
    core.on_tick(at(250ms));
    core.on_departure(at(260ms), {"i-1", 1'000'000ms});
    upstream_status status = ready_status(1);
    status.incarnation.started = 2'000'000ms;
    core.on_status(at(400ms), status);
    output.sent.clear();
    core.on_message(at(410ms), entry, entry_hello{mark_at(7), true, 0});
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports[0].service_size == 0U);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_that_has_not_left_keeps_the_number_over_ticks,
    companion_fixture)
{
    make_ready();
    core.on_message(at(0ms), entry, entry_hello{mark_at(7), true, 7});
    core.on_tick(at(250ms));
    output.sent.clear();
    core.on_message(at(260ms), entry, entry_hello{mark_at(7), true, 0});
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports[0].service_size == 7U);
}

BOOST_FIXTURE_TEST_CASE(
    an_accepted_flow_survives_a_long_pause_before_its_first_request,
    companion_fixture)
{
    make_ready();
    core.on_caller_packet(at(10ms), entry, opening_packet(test_flow(1)));
    core.on_upstream_packet(
        at(11ms), accepting_packet(test_flow(1), upstream_sequence));
    for (auto now = 250ms; now < 8'000ms; now += 250ms)
    {
        core.on_tick(at(now));
    }
    core.on_caller_packet(
        at(8'000ms), entry,
        data_packet(test_flow(1), 1'001, upstream_sequence + 1));
    BOOST_TEST(output.to_upstream == 2U);
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
}

BOOST_FIXTURE_TEST_CASE(
    a_late_opening_does_not_hide_a_flow_from_a_restarted_companion,
    companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(40));
    const flow_packet late = opening_packet(test_flow(1));
    core.on_caller_packet(at(10ms), entry, late);
    core.on_message(at(20ms), entry, owner_query{test_flow(1), 5'001});
    core.on_caller_packet(
        at(30ms), entry, data_packet(test_flow(1), 1'101, 5'001));
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::uncertain));
}

BOOST_FIXTURE_TEST_CASE(
    a_late_opening_does_not_replace_a_flow_that_a_restarted_companion_learned,
    companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(40));
    const flow_packet packet = data_packet(test_flow(1), 1'101, 5'001);
    core.on_caller_packet(at(10ms), entry, packet);
    flow_packet answer = data_packet(test_flow(1), 5'001, 1'201);
    answer.origin = packet_origin::upstream;
    core.on_upstream_packet(at(11ms), answer);
    core.on_caller_packet(at(20ms), entry, opening_packet(test_flow(1)));
    core.on_message(at(30ms), entry, owner_query{test_flow(1), 5'001});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST((answers[1].answer == ownership::owned));
}

BOOST_AUTO_TEST_SUITE_END()
