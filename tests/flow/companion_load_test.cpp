// Behaviour of a companion when its upstream bounces packets, is at capacity or
// has terminated, and when peers report a different policy.

#include "companion_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(companion_flow)

BOOST_FIXTURE_TEST_CASE(
    openings_are_refused_while_the_upstream_bounces_them, companion_fixture)
{
    make_ready();
    core.on_caller_packet(at(1ms), entry, opening_packet(test_flow(1)));
    core.on_upstream_packet(at(2ms), bounced(opening_packet(test_flow(1))));
    output.sent.clear();

    core.on_caller_packet(at(3ms), entry, opening_packet(test_flow(2)));

    BOOST_TEST(output.to_upstream == 1U);
    BOOST_TEST(
        to_string(refusal()) ==
        std::string(to_string(result_code::not_run_upstream_refused)));
    BOOST_TEST(
        to_string(core.load(at(3ms)).refusal) ==
        std::string(to_string(result_code::not_run_upstream_refused)));
}

BOOST_FIXTURE_TEST_CASE(
    one_opening_probes_an_upstream_that_bounced_earlier_ones, companion_fixture)
{
    make_ready();
    core.on_caller_packet(at(1ms), entry, opening_packet(test_flow(1)));
    core.on_upstream_packet(at(2ms), bounced(opening_packet(test_flow(1))));

    core.on_caller_packet(at(100ms), entry, opening_packet(test_flow(2)));
    core.on_caller_packet(at(101ms), entry, opening_packet(test_flow(3)));
    BOOST_TEST(output.to_upstream == 2U);

    core.on_upstream_packet(
        at(102ms), accepting_packet(test_flow(2), upstream_sequence));
    core.on_caller_packet(at(103ms), entry, opening_packet(test_flow(4)));
    core.on_caller_packet(at(103ms), entry, opening_packet(test_flow(5)));
    BOOST_TEST(output.to_upstream == 4U);
}

/// A policy announced by a peer while policy 7 is in force.
struct peer_policy_case
{
    const char* name;
    std::uint64_t revision;
    bool has_same_contents;
    std::size_t fetches;
    std::uint64_t revision_after;
};

std::ostream& operator<<(std::ostream& stream, const peer_policy_case& value)
{
    return stream << value.name;
}

const std::vector<peer_policy_case> peer_policy_cases{
    {"newer_contents_are_fetched", 9, false, 1, 7},
    {"the_same_contents_at_a_newer_revision_are_not_fetched", 9, true, 0, 9},
    {"older_contents_are_not_fetched", 5, false, 0, 7},
    {"the_same_contents_at_an_older_revision_are_not_fetched", 5, true, 0, 7}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_hello_is_compared_by_revision_and_contents,
    boost::unit_test::data::make(peer_policy_cases),
    item)
{
    make_ready();
    const std::uint64_t digest =
        item.has_same_contents ? test_policy(7)->digest() : 1;

    policy_mark mark = mark_at(item.revision);
    mark.digest = digest;

    core.on_message(at(10ms), entry, entry_hello{mark, true});

    BOOST_TEST(output.fetches.size() == item.fetches);
    BOOST_TEST(
        core.current_policy().position().revision == item.revision_after);
    BOOST_TEST(core.current_policy().find_route(test_target) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(
    a_full_companion_notifies_a_refused_entry_of_free_capacity,
    companion_fixture)
{
    make_ready();
    constexpr std::uint16_t limit = 20;
    for (std::uint16_t i = 0; i < limit; ++i)
    {
        open(test_flow(i), at(1ms));
    }
    core.on_caller_packet(at(2ms), entry, opening_packet(test_flow(99)));
    BOOST_TEST(
        to_string(refusal()) ==
        std::string(to_string(result_code::not_run_overloaded)));
    output.sent.clear();

    flow_packet answer =
        data_packet(test_flow(1), upstream_sequence + 1, 1'101);
    answer.origin = packet_origin::upstream;
    core.on_upstream_packet(at(3ms), answer);
    core.on_upstream_packet(at(4ms), answer);

    const auto notices = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST((output.sent[0].to == entry));
    BOOST_TEST((notices[0].load.refusal == result_code::done));
}

/// The answer of a recently started companion to a query for an unknown flow.
struct unknown_flow_case
{
    const char* name;
    /// At 2 s a status arrives from an upstream that started before the
    /// companion.
    bool has_status;
    /// Result of the presence checks after that time.
    upstream_presence presence;
    std::chrono::milliseconds asked_at;
    ownership answer;
};

std::ostream& operator<<(std::ostream& stream, const unknown_flow_case& value)
{
    return stream << value.name;
}

const std::vector<unknown_flow_case> unknown_flow_cases{
    {"no_status_yet", false, upstream_presence::unknown, 1'000ms,
     ownership::uncertain},
    {"a_fresh_status", true, upstream_presence::unknown, 3'500ms,
     ownership::uncertain},
    {"no_status_for_longer_than_the_longest_tolerated_pause", false,
     upstream_presence::unknown, 3'500ms, ownership::uncertain},
    {"no_status_and_no_process", false, upstream_presence::absent, 3'500ms,
     ownership::absent},
    {"an_overdue_status", true, upstream_presence::unknown, 5'500ms,
     ownership::uncertain},
    {"an_overdue_status_of_a_process_that_listens", true,
     upstream_presence::running, 5'500ms, ownership::uncertain},
    {"an_overdue_status_and_no_process", true, upstream_presence::absent,
     5'500ms, ownership::absent}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_missing_status_is_no_evidence_without_a_refused_connection,
    boost::unit_test::data::make(unknown_flow_cases),
    item)
{
    constexpr auto step = 250ms;
    for (auto now = 0ms; now < item.asked_at; now += step)
    {
        core.on_tick(at(now));
        if (item.has_status && now == 2'000ms)
        {
            core.on_status(at(now), ready_status(9));
        }
        core.on_presence(
            at(now),
            now > 2'000ms ? item.presence : upstream_presence::unknown);
    }
    core.on_message(at(item.asked_at), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(
        static_cast<int>(answers[0].answer) == static_cast<int>(item.answer));
}

BOOST_FIXTURE_TEST_CASE(
    a_resumed_companion_does_not_assume_that_its_upstream_has_ended,
    companion_fixture)
{
    core.on_tick(at(0ms));
    core.on_status(at(100ms), ready_status(9));
    core.on_message(at(8'000ms), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::uncertain));
}

/// The last report that a companion sends when it stops.
struct stop_case
{
    const char* name;
    std::chrono::milliseconds stopped_at;
    /// Result of the presence check that the stop waits for.
    upstream_presence presence;
    bool has_left;
};

std::ostream& operator<<(std::ostream& stream, const stop_case& value)
{
    return stream << value.name;
}

const std::vector<stop_case> stop_cases{
    {"its_upstream_is_alive", 1'000ms, upstream_presence::running, false},
    {"its_upstream_status_is_overdue", 4'000ms, upstream_presence::unknown,
     false},
    {"its_upstream_status_is_overdue_and_no_process_listens", 4'000ms,
     upstream_presence::absent, true}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_companion_that_stops_says_whether_its_upstream_has_ended,
    boost::unit_test::data::make(stop_cases),
    item)
{
    make_ready();
    core.on_message(at(0ms), entry, entry_hello{mark_at(7), true});
    for (auto now = 0ms; now < item.stopped_at; now += 250ms)
    {
        core.on_tick(at(now));
    }
    core.on_stop(at(item.stopped_at));
    core.on_presence(at(item.stopped_at + 5ms), item.presence);
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.back().is_stopping);
    BOOST_TEST(reports.back().has_left == item.has_left);
}

BOOST_FIXTURE_TEST_CASE(
    a_resumed_companion_that_stops_does_not_say_that_its_upstream_has_ended,
    companion_fixture)
{
    make_ready();
    core.on_message(at(0ms), entry, entry_hello{mark_at(7), true});
    core.on_stop(at(5'000ms));
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.back().is_stopping);
    BOOST_TEST(!reports.back().has_left);
}

/// What a restarted companion receives of its upstream's former incarnation
/// before the first status of the running one.
struct former_incarnation_case
{
    const char* name;
    bool has_departure;
    bool has_status;
};

std::ostream&
operator<<(std::ostream& stream, const former_incarnation_case& value)
{
    return stream << value.name;
}

const std::vector<former_incarnation_case> former_incarnation_cases{
    {"nothing", false, false},
    {"a_late_departure", true, false},
    {"a_late_status", false, true},
    {"both", true, true}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_former_incarnation_does_not_prove_that_the_running_one_was_observed,
    boost::unit_test::data::make(former_incarnation_cases),
    item)
{
    core.on_tick(at(0ms));
    upstream_status former = ready_status(90);
    former.incarnation.started = 500'000ms;
    if (item.has_status)
    {
        core.on_status(at(10ms), former);
    }
    if (item.has_departure)
    {
        core.on_departure(at(20ms), former.incarnation);
    }
    core.on_status(at(500ms), ready_status(40));
    core.on_message(at(600ms), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::uncertain));
}

BOOST_FIXTURE_TEST_CASE(
    an_upstream_that_starts_under_a_running_companion_is_observed,
    companion_fixture)
{
    make_ready();
    for (auto now = 250ms; now < 10'000ms; now += 250ms)
    {
        core.on_tick(at(now));
    }
    upstream_status second = ready_status(3);
    second.incarnation.started = 2'000'000ms;
    core.on_status(at(10'000ms), second);
    core.on_message(at(10'001ms), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::absent));
}

/// A departure that arrives before any status.
struct early_departure_case
{
    const char* name;
    std::chrono::milliseconds reported_at;
    upstream_presence presence;
    bool has_left;
};

std::ostream&
operator<<(std::ostream& stream, const early_departure_case& value)
{
    return stream << value.name;
}

const std::vector<early_departure_case> early_departure_cases{
    {"a_later_incarnation_may_be_running", 250ms, upstream_presence::unknown,
     false},
    {"a_later_incarnation_is_running", 3'000ms, upstream_presence::running,
     false},
    {"no_later_incarnation_has_sent_a_status", 3'000ms,
     upstream_presence::unknown, false},
    {"no_later_incarnation_is_running", 250ms, upstream_presence::absent,
     true}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_departure_before_any_status_may_be_that_of_a_former_incarnation,
    boost::unit_test::data::make(early_departure_cases),
    item)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_departure(at(10ms), {"i-1", 500'000ms});
    for (auto now = 20ms; now < item.reported_at; now += 250ms)
    {
        core.on_tick(at(now));
        core.on_presence(at(now), item.presence);
    }
    core.on_message(at(item.reported_at), entry, owner_query{test_flow(1), 1});
    core.on_message(at(item.reported_at), entry, entry_hello{mark_at(7), true});
    const auto answers = messages_of<owner_answer>(output.sent);
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST((answers[0].answer == ownership::absent) == item.has_left);
    BOOST_TEST(reports.back().has_left == item.has_left);
    BOOST_TEST((reports.back().load.refusal != result_code::done));
}

BOOST_FIXTURE_TEST_CASE(
    an_upstream_that_answers_has_not_ended_when_its_status_is_overdue,
    companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(9));
    flow_packet answer =
        data_packet(test_flow(1), upstream_sequence + 1, 1'101);
    answer.origin = packet_origin::upstream;
    for (auto now = 250ms; now < 5'000ms; now += 250ms)
    {
        core.on_upstream_packet(at(now), answer);
        core.on_tick(at(now));
    }
    core.on_message(at(5'000ms), entry, owner_query{test_flow(2), 1});
    core.on_message(at(5'000ms), entry, entry_hello{mark_at(7), true});
    core.on_stop(at(5'000ms));
    const auto answers = messages_of<owner_answer>(output.sent);
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::uncertain));
    BOOST_TEST(!reports.back().has_left);
}

BOOST_FIXTURE_TEST_CASE(
    packets_that_the_machine_bounces_do_not_show_that_the_upstream_lives,
    companion_fixture)
{
    core.on_status(at(0ms), ready_status(9));
    for (auto now = 250ms; now < 5'000ms; now += 250ms)
    {
        core.on_tick(at(now));
        core.on_upstream_packet(
            at(now), bounced(data_packet(test_flow(1), 1'101, 5'001)));
        core.on_presence(at(now), upstream_presence::absent);
    }
    core.on_message(at(5'000ms), entry, owner_query{test_flow(2), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::absent));
}

BOOST_FIXTURE_TEST_CASE(
    a_bounced_packet_of_a_former_flow_does_not_end_the_present_one,
    companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    const flow_packet late = data_packet(test_flow(1), 700, 900'000);
    core.on_caller_packet(at(20ms), entry, late);
    core.on_upstream_packet(at(21ms), bounced(late));
    core.on_message(at(30ms), entry, owner_query{test_flow(1), 5'001});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::owned));
}

BOOST_FIXTURE_TEST_CASE(
    a_bounce_ends_a_flow_that_has_received_more_than_a_window,
    companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    flow_packet answer = data_packet(test_flow(1), 1'000'000, 1'101);
    answer.origin = packet_origin::upstream;
    core.on_upstream_packet(at(20ms), answer);
    core.on_upstream_packet(
        at(30ms), bounced(data_packet(test_flow(1), 1'101, 1'000'100)));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_late_status_does_not_undo_the_departure_of_its_incarnation,
    companion_fixture)
{
    make_ready();
    upstream_status late = ready_status(1);
    late.incarnation.started = 2'000'000ms;
    BOOST_TEST(core.on_departure(at(10ms), late.incarnation));

    BOOST_TEST((core.on_status(at(20ms), late) == status_outcome::outdated));

    core.on_caller_packet(at(30ms), entry, opening_packet(test_flow(1)));
    BOOST_TEST(output.to_upstream == 0U);
}

// Small packets overtake large ones on the way.
BOOST_FIXTURE_TEST_CASE(
    an_answer_that_a_closing_packet_overtakes_is_measured, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(1ms));
    flow_packet closing = data_packet(test_flow(1), 1'101, 0, 0);
    closing.origin = packet_origin::upstream;
    closing.sequence = upstream_sequence + 1 + 600;
    closing.flags.closes = true;
    core.on_upstream_packet(at(31ms), closing);
    flow_packet answer = data_packet(test_flow(1), 1'101, 0, 600);
    answer.origin = packet_origin::upstream;
    answer.sequence = upstream_sequence + 1;
    core.on_upstream_packet(at(32ms), answer);
    const upstream_load load = core.load(at(33ms));
    BOOST_TEST(load.in_flight == 0U);
    BOOST_TEST(load.request_samples == 1U);
    BOOST_TEST(load.request_time.count() == 31'000);
}

BOOST_AUTO_TEST_SUITE_END()
