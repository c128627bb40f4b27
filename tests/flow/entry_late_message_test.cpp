// Late messages of former processes and flows must not count as evidence about
// the present ones.

#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(entry_evidence)

// One datagram of an earlier process at the address of companion 1 is late.
BOOST_FIXTURE_TEST_CASE(
    a_late_report_of_a_former_companion_does_not_end_the_flows_of_the_new_one,
    entry_fixture)
{
    make_ready(2);
    const companion_report late = with_order(gone_report(1, 2), 1, 9);
    core.on_message(at(0ms), companion(1), late);
    core.on_message(
        at(1'000ms), companion(1), with_order(sized_report(1, 2), 2, 1));
    core.on_message(at(1'000ms), companion(2), sized_report(2, 2));
    core.on_message(
        at(1'100ms), companion(1), flow_opened{test_flow(1), 1, {}});
    core.on_message(at(1'200ms), companion(1), late);
    core.on_caller_packet(at(1'201ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(1'202ms, {2}, test_flow(1));
    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(1)));
}

// The same without a stop: the upstream has left and returned. Companion 2 was
// greeted while it was away.
BOOST_FIXTURE_TEST_CASE(
    a_late_report_of_a_departure_does_not_hide_a_companion_that_has_returned,
    entry_fixture)
{
    make_ready(2);
    companion_report left = with_order(ready_report(1), 1, 8);
    left.has_left = true;
    core.on_message(at(0ms), companion(1), left);
    core.on_message(at(500ms), companion(2), sized_report(2, 1));
    core.on_message(
        at(600ms), companion(1), with_order(sized_report(1, 2), 1, 9));
    core.on_message(at(650ms), companion(1), left);
    core.on_caller_packet(at(651ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(652ms, {2}, test_flow(1));
    BOOST_TEST(output.resets.empty());
}

// Guard: a companion that was removed does not become known again by one of its
// late reports, and its newest order is kept.
BOOST_FIXTURE_TEST_CASE(
    a_late_report_does_not_bring_back_a_companion_that_was_removed,
    entry_fixture)
{
    make_ready(2);
    const companion_report late = with_order(ready_report(1), 1, 8);
    core.on_message(at(1ms), companion(1), late);
    core.on_message(at(2ms), companion(1), with_order(gone_report(1), 1, 9));
    core.on_unlisted(at(3ms), companion(1));
    report_from({2}, 250ms, 10'000ms);
    BOOST_REQUIRE(core.companions().find(companion(1)) == nullptr);
    core.on_message(at(10'001ms), companion(1), late);
    BOOST_TEST((core.companions().find(companion(1)) == nullptr));
    const report_order newest = core.companions().newest_report(companion(1));
    BOOST_TEST(newest.number == 9U);

    // Also if the store lists a companion at its address again.
    core.on_listed(at(10'001ms), registration(1));
    core.on_message(at(10'001ms), companion(1), late);
    const directory_member* listed = core.companions().find(companion(1));
    BOOST_REQUIRE(listed != nullptr);
    BOOST_TEST((listed->load_received_at == time_point{}));

    core.on_message(
        at(10'002ms), companion(1), with_order(ready_report(1), 2, 1));
    BOOST_TEST((core.companions().find(companion(1)) != nullptr));
}

// A repeated report says nothing that is out of date.
BOOST_FIXTURE_TEST_CASE(a_report_of_equal_order_is_accepted, entry_fixture)
{
    make_ready(2);
    core.on_message(at(1ms), companion(1), with_order(gone_report(1), 1, 9));
    core.on_message(at(2ms), companion(1), with_order(ready_report(1), 1, 9));
    BOOST_TEST(!core.companions().find(companion(1))->has_left);
}

// Guard: without an answer to any request an entry counts as isolated.
BOOST_FIXTURE_TEST_CASE(a_late_report_is_a_sign_of_contact, entry_fixture)
{
    make_ready(1);
    core.on_message(at(0ms), companion(1), with_order(ready_report(1), 2, 1));
    core.on_tick(at(260ms));
    BOOST_REQUIRE(!core.is_ready(at(700ms)));
    core.on_message(at(700ms), companion(1), with_order(ready_report(1), 1, 9));
    BOOST_TEST(core.is_ready(at(700ms)));
}

// A companion whose clock was set back would be ignored otherwise.
BOOST_FIXTURE_TEST_CASE(
    a_hello_tells_a_companion_the_newest_order_of_its_address, entry_fixture)
{
    make_ready(1);
    core.on_message(at(0ms), companion(1), with_order(ready_report(1), 5, 7));
    core.on_message(at(1ms), companion(1), with_order(ready_report(1), 4, 9));
    core.on_tick(at(260ms));
    const auto hellos = messages_of<entry_hello>(output.sent);
    BOOST_REQUIRE(!hellos.empty());
    BOOST_TEST(hellos.back().newest_report.process == 5U);
    BOOST_TEST(hellos.back().newest_report.number == 7U);
}

// The answer to a query for a former flow of the same port is late. The present
// flow was opened at companion 1 through another entry.
BOOST_FIXTURE_TEST_CASE(
    a_late_answer_for_a_former_flow_does_not_count_for_the_present_one,
    entry_fixture)
{
    make_ready(2);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(2ms, {2}, test_flow(1));
    core.on_tick(at(40ms));
    core.on_tick(at(200ms));
    core.on_caller_packet(
        at(1'000ms), data_packet(test_flow(1), 900'001, 800'002));
    answer_absent(1'001ms, {1, 2}, test_flow(1));
    core.on_message(
        at(1'002ms), companion(1),
        answer_to(test_flow(1), ownership::owned, {}, 800'002));
    BOOST_TEST(output.resets.empty());
    BOOST_TEST(output.packets.size() == 1U);
}

// The same with an answer that companion 2 sent on its own, without a number.
BOOST_FIXTURE_TEST_CASE(
    an_answer_that_was_not_asked_for_does_not_end_a_lookup, entry_fixture)
{
    make_ready(2);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(
        at(2ms), companion(2), owner_answer{test_flow(1), ownership::owned});
    BOOST_TEST(output.packets.empty());
    for (const std::uint16_t i : {1, 2})
    {
        core.on_message(
            at(3ms), companion(i),
            owner_answer{test_flow(1), ownership::absent});
    }
    BOOST_TEST(output.resets.empty());

    core.on_message(
        at(4ms), companion(1), answer_to(test_flow(1), ownership::owned));
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(1)));
}

// Guard: zero marks answers that were not asked for, so no query has it.
BOOST_FIXTURE_TEST_CASE(
    a_flow_whose_caller_acknowledges_zero_is_found, entry_fixture)
{
    make_ready(1);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 0));
    const auto queries = messages_of<owner_query>(output.sent);
    BOOST_REQUIRE(queries.size() == 1U);
    core.on_message(
        at(2ms), companion(1),
        answer_to(test_flow(1), ownership::owned, {}, queries[0].acknowledged));
    BOOST_TEST(output.packets.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
