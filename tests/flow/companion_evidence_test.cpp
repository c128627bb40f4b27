// Cases in which a companion must not take a late status of its upstream, or
// its own limits, as evidence that flows are gone.

#include "companion_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(companion_evidence)

// Entries reset the flows of a companion that stops and whose upstream has
// left. This upstream's status is late, but it sends packets.
BOOST_FIXTURE_TEST_CASE(
    a_companion_that_stops_does_not_say_that_a_sending_upstream_has_left,
    companion_fixture)
{
    make_ready();
    core.on_message(at(0ms), entry, entry_hello{mark_at(7), true});
    open(test_flow(1), at(10ms));
    flow_packet answer = accepting_packet(test_flow(1), upstream_sequence + 1);
    answer.flags.opens = false;
    answer.payload_size = 100;
    for (auto now = 250ms; now < 3'000ms; now += 250ms)
    {
        core.on_tick(at(now));
        core.on_upstream_packet(at(now), answer);
    }
    core.on_stop(at(3'000ms));
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.back().is_stopping);
    BOOST_TEST(!reports.back().has_left);
}

// The process was suspended, and the signal to stop is what it handles first.
BOOST_FIXTURE_TEST_CASE(
    a_companion_that_stops_after_a_freeze_does_not_say_that_its_upstream_left,
    companion_fixture)
{
    make_ready();
    core.on_message(at(0ms), entry, entry_hello{mark_at(7), true});
    core.on_tick(at(250ms));
    core.on_stop(at(5'000ms));
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(!reports.back().has_left);
}

// A restarted companion does not know the flows of its upstream, whose status
// is late but which sends packets.
BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_is_uncertain_while_its_upstream_sends_packets,
    companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(50));
    flow_packet answer = accepting_packet(test_flow(2), upstream_sequence + 1);
    answer.flags.opens = false;
    answer.payload_size = 100;
    for (auto now = 250ms; now <= 3'000ms; now += 250ms)
    {
        core.on_tick(at(now));
        core.on_upstream_packet(at(now), answer);
    }
    core.on_message(at(3'001ms), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(!answers.empty());
    BOOST_TEST((answers.back().answer == ownership::uncertain));
}

// Entries take a returned packet as the answer that the upstream does not hold
// the flow. A full table says nothing about that.
BOOST_AUTO_TEST_CASE(
    a_full_companion_does_not_return_what_its_upstream_may_hold)
{
    recording_companion_output output;
    recording_event_sink events;
    companion_flow_settings settings{"side-1",           "meetups", "kgl-nyr",
                                     {0x0A010023, 8232}, 1'000ms,   60s};
    settings.max_flows = 1;
    companion_flow_core core(settings, output, events);
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(50));
    core.on_caller_packet(at(1ms), entry, data_packet(test_flow(1), 1'001, 2));
    core.on_caller_packet(at(2ms), entry, data_packet(test_flow(2), 1'001, 2));
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
}

// The upstream is starved, or the link from it cut, for 3 s after a restart of
// the companion.
BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_does_not_deny_flows_because_a_status_is_late,
    companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(50));
    for (auto now = 250ms; now <= 3'000ms; now += 250ms)
    {
        core.on_tick(at(now));
    }
    core.on_message(at(3'001ms), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(!answers.empty());
    BOOST_TEST((answers.back().answer == ownership::uncertain));
}

BOOST_AUTO_TEST_SUITE_END()
