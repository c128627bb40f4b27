// Owner look-up for flows that are not in the flow table of an entry.

#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(entry_flow)

BOOST_FIXTURE_TEST_CASE(
    an_unknown_flow_is_not_reset_while_a_listed_companion_is_silent,
    entry_fixture)
{
    make_ready(3);
    core.on_listed(at(0ms), registration(1));
    report_from({2, 3}, 0ms, 6'000ms);
    core.on_caller_packet(at(6'000ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(6'002ms, {2, 3}, test_flow(1));
    core.on_tick(at(6'250ms));
    BOOST_TEST(output.resets.empty());

    core.on_unlisted(at(6'300ms), companion(1));
    core.on_caller_packet(at(6'300ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(6'302ms, {2, 3}, test_flow(1));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    packets_of_an_unknown_flow_are_queued_during_the_look_up, entry_fixture)
{
    make_ready(3);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'101, 2));
    BOOST_TEST(output.packets.empty());
    BOOST_TEST(messages_of<owner_query>(output.sent).size() == 3U);

    core.on_message(
        at(2ms), companion(3), answer_to(test_flow(1), ownership::owned));

    BOOST_TEST(output.packets.size() == 2U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(3)));
}

BOOST_FIXTURE_TEST_CASE(
    a_look_up_in_a_large_service_continues_after_the_first_queries,
    entry_fixture)
{
    constexpr std::uint16_t count = 100;
    make_ready(count);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    BOOST_TEST(output.sent.size() < count);

    for (std::size_t i = 0; i < output.sent.size() && i + 1 < count; ++i)
    {
        core.on_message(
            at(2ms), output.sent[i].to,
            answer_to(test_flow(1), ownership::absent));
    }

    BOOST_TEST(output.resets.empty());
    BOOST_TEST(output.sent.size() == count);
}

BOOST_FIXTURE_TEST_CASE(
    a_look_up_queries_few_companions_first_and_follows_a_hint, entry_fixture)
{
    make_ready(50);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    BOOST_REQUIRE(output.sent.size() == 3U);
    core.on_message(
        at(2ms), output.sent[1].to,
        answer_to(test_flow(1), ownership::absent, companion(44)));
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) ==
        to_string(companion_packet_address(44)));
    BOOST_TEST(output.sent.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_wrong_hint_is_not_followed_again, entry_fixture)
{
    make_ready(50);
    const flow_packet packet = data_packet(test_flow(1), 1'001, 2);
    core.on_caller_packet(at(1ms), packet);
    const owner_answer hinted =
        answer_to(test_flow(1), ownership::absent, companion(44));
    core.on_message(at(2ms), output.sent[1].to, hinted);
    core.on_returned_packet(at(3ms), companion(44), packet);
    core.on_message(at(4ms), output.sent.back().to, hinted);
    BOOST_TEST(output.packets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    an_uncertain_companion_with_a_wrong_hint_is_still_uncertain, entry_fixture)
{
    make_ready(2);
    const flow_packet packet = data_packet(test_flow(1), 1'001, 2);
    core.on_message(at(0ms), companion(1), flow_opened{test_flow(1), 1, {}});
    core.on_returned_packet(at(1ms), companion(1), packet);
    core.on_message(
        at(2ms), companion(2),
        answer_to(test_flow(1), ownership::uncertain, companion(1)));
    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(2)));
}

BOOST_FIXTURE_TEST_CASE(
    all_companions_are_queried_if_the_first_ones_do_not_answer, entry_fixture)
{
    make_ready(50);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_tick(at(40ms));
    BOOST_TEST(messages_of<owner_query>(output.sent).size() == 53U);
}

BOOST_FIXTURE_TEST_CASE(
    the_owner_of_a_long_lived_flow_is_announced_to_few_companions,
    entry_fixture)
{
    make_ready(50);
    core.on_message(at(1ms), companion(5), flow_opened{test_flow(1), 1, {}});
    core.on_tick(at(600ms));
    BOOST_TEST(messages_of<owner_hint>(output.sent).empty());
    core.on_tick(at(1'200ms));
    core.on_tick(at(1'800ms));
    const auto hints = messages_of<owner_hint>(output.sent);
    BOOST_TEST(hints.size() >= 2U);
    BOOST_TEST(hints.size() <= 3U);
    BOOST_TEST((hints[0].owner == companion(5)));
}

BOOST_FIXTURE_TEST_CASE(
    a_flow_is_not_reset_unless_every_companion_was_queried, entry_fixture)
{
    constexpr std::uint16_t count = 300;
    make_ready(count);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    for (std::size_t i = 0; i < output.sent.size(); ++i)
    {
        core.on_message(
            at(2ms), output.sent[i].to,
            answer_to(test_flow(1), ownership::absent));
    }
    BOOST_TEST(output.resets.empty());
    BOOST_TEST(events.count(flow_event_kind::owner_missing) == 1U);
}

struct missing_case
{
    const char* name;
    std::size_t absent;
    std::size_t resets;
};

std::ostream& operator<<(std::ostream& stream, const missing_case& value)
{
    return stream << value.name;
}

const std::vector<missing_case> missing_cases{
    {"all_answer_that_it_is_absent", 3, 1}, {"one_does_not_answer", 2, 0}};

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    a_flow_is_reset_only_if_no_upstream_can_hold_it,
    boost::unit_test::data::make(missing_cases),
    item)
{
    make_ready(3);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    for (std::uint16_t i = 1; i <= item.absent; ++i)
    {
        core.on_message(
            at(2ms), companion(i), answer_to(test_flow(1), ownership::absent));
    }
    core.on_tick(at(200ms));
    BOOST_TEST(output.resets.size() == item.resets);
}

/// What an entry knows of the companions of a service when those that it knows
/// answer that they do not hold a flow.
struct knowledge_case
{
    const char* name;
    /// When the list was read; zero: not.
    std::chrono::milliseconds list_read;
    /// Listed, but has not reported.
    bool has_unheard_companion;
    /// Number of companions that the others report.
    std::uint32_t reported_size;
    /// All are listed.
    bool are_listed;
    /// All report that their registrations were not lost.
    bool is_continuous;
    std::size_t resets;
};

std::ostream& operator<<(std::ostream& stream, const knowledge_case& value)
{
    return stream << value.name;
}

const std::vector<knowledge_case> knowledge_cases{
    {"all_are_known", -1ms, false, 2, false, false, 1},
    {"no_number_long_after_the_list", -3'000ms, false, 0, true, false, 1},
    {"no_number_and_no_registration_was_lost", -1ms, false, 0, true, true, 1},
    {"one_has_left_meanwhile", -1ms, false, 1, false, false, 1},
    {"the_list_was_not_read", 0ms, false, 2, true, true, 0},
    {"no_number_soon_after_the_list", -2'900ms, false, 0, true, false, 0},
    {"no_number_and_not_listed", -10'000ms, false, 0, false, false, 0},
    {"not_listed_but_kept_according_to_reports", -1ms, false, 0, false, true,
     0},
    {"a_listed_companion_has_not_reported", -10'000ms, true, 2, true, true, 0},
    {"others_know_more_companions", -10'000ms, false, 3, true, true, 0}};

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    an_unknown_flow_is_not_reset_unless_all_companions_are_known,
    boost::unit_test::data::make(knowledge_cases),
    item)
{
    core.on_policy(at(0ms), test_policy(7));
    for (const std::uint16_t i : {1, 2})
    {
        companion_report report = ready_report(i);
        report.service_size = item.reported_size;
        report.is_registration_continuous = item.is_continuous;
        if (item.are_listed)
        {
            core.on_listed(at(0ms), registration(i));
        }
        core.on_message(at(0ms), companion(i), report);
    }
    if (item.has_unheard_companion)
    {
        core.on_listed(at(0ms), registration(3));
    }
    if (item.list_read != 0ms)
    {
        core.on_list_read(at(item.list_read));
    }
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(2ms, {1, 2}, test_flow(1));
    // Also the companion that the entry has not heard before.
    answer_absent(3ms, {3}, test_flow(1));

    BOOST_TEST(output.resets.size() == item.resets);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_that_becomes_known_during_a_lookup_is_queried, entry_fixture)
{
    make_ready(1);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(at(2ms), companion(2), ready_report(2));
    answer_absent(3ms, {1}, test_flow(1));
    BOOST_TEST(output.resets.empty());

    core.on_message(
        at(4ms), companion(2), answer_to(test_flow(1), ownership::owned));
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(2)));
}

BOOST_FIXTURE_TEST_CASE(
    a_hint_to_an_unknown_companion_makes_the_entry_ask_it, entry_fixture)
{
    make_ready(2);
    const owner_answer hinted =
        answer_to(test_flow(1), ownership::absent, companion(9));
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(at(2ms), companion(1), hinted);
    core.on_message(at(2ms), companion(2), hinted);
    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(!output.sent.empty());
    BOOST_TEST((output.sent.back().to == companion(9)));

    core.on_message(at(4ms), companion(9), ready_report(9));
    core.on_caller_packet(at(200ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(at(202ms), companion(1), hinted);
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(9)));
}

BOOST_FIXTURE_TEST_CASE(uncertain_companions_are_tried_in_turn, entry_fixture)
{
    make_ready(2);
    const flow_packet packet = data_packet(test_flow(1), 1'001, 2);
    core.on_caller_packet(at(1ms), packet);
    for (const std::uint16_t i : {1, 2})
    {
        core.on_message(
            at(2ms), companion(i),
            answer_to(test_flow(1), ownership::uncertain));
    }
    BOOST_REQUIRE(output.packets.size() == 1U);
    const bool first_is_one = output.packets[0] == companion_packet_address(1);
    const std::uint16_t first = first_is_one ? 1 : 2;
    const std::uint16_t second = first_is_one ? 2 : 1;

    core.on_returned_packet(at(3ms), companion(first), packet);
    core.on_message(
        at(4ms), companion(second),
        answer_to(test_flow(1), ownership::uncertain));

    BOOST_REQUIRE(output.packets.size() == 2U);
    BOOST_TEST(
        to_string(output.packets[1]) ==
        to_string(companion_packet_address(second)));
}

BOOST_FIXTURE_TEST_CASE(
    an_uncertain_companion_gets_one_packet_until_it_has_confirmed,
    entry_fixture)
{
    make_ready(2);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'101, 2));
    core.on_message(
        at(2ms), companion(1), answer_to(test_flow(1), ownership::uncertain));
    core.on_message(
        at(2ms), companion(2), answer_to(test_flow(1), ownership::absent));
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'201, 2));
    BOOST_TEST(output.packets.size() == 1U);

    core.on_message(
        at(4ms), companion(1), owner_answer{test_flow(1), ownership::owned});
    core.on_caller_packet(at(5ms), data_packet(test_flow(1), 1'201, 2));

    BOOST_TEST(output.packets.size() == 2U);
}

// With 100 companions the interval between hello messages is 750 ms, and a
// look-up queries all of them. A companion that leaves the queries unanswered
// must count as lost before it has missed five hello messages.
BOOST_FIXTURE_TEST_CASE(
    no_opening_waits_for_a_companion_that_answers_no_question, entry_fixture)
{
    constexpr std::uint16_t count = 100;
    make_ready(count);
    companion_report full = ready_report(1);
    full.load.refusal = result_code::not_run_overloaded;
    core.on_message(at(0ms), companion(1), full);
    const auto report_from_others = [this](std::chrono::milliseconds now)
    {
        for (std::uint16_t i = 2; i <= count; ++i)
        {
            companion_report report = ready_report(i);
            report.load.refusal = result_code::not_run_upstream_leaving;
            core.on_message(at(now), companion(i), report);
        }
    };
    report_from_others(0ms);
    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    BOOST_TEST(output.resets.empty());

    for (auto now = 100ms; now <= 2'000ms; now += 100ms)
    {
        report_from_others(now);
        core.on_tick(at(now));
        const flow_endpoints flow =
            test_flow(static_cast<std::uint16_t>(1'000 + now.count()));
        core.on_caller_packet(at(now), data_packet(flow, 1'001, 2));
    }
    output.resets.clear();
    core.on_caller_packet(at(2'010ms), opening_packet(test_flow(2)));

    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
