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

// Flows without a packet for the idle limit are removed everywhere, so what a
// restarted companion has not seen for as long is no open flow.
BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_can_tell_after_the_idle_limit, companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    for (std::uint64_t second = 0; second <= 3'600; ++second)
    {
        const auto now = std::chrono::seconds(second);
        core.on_status(at(now), ready_status(50 + second));
        core.on_tick(at(now));
    }
    core.on_message(at(3'600s), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(!answers.empty());
    BOOST_TEST((answers.back().answer != ownership::uncertain));
}

/// A restarted companion that does not know its upstream's flows.
struct restarted_fixture : companion_fixture
{
    restarted_fixture()
    {
        core.on_policy(at(0ms), test_policy(7));
        core.on_status(at(0ms), ready_status(50));
    }

    void
    tick_until(std::chrono::milliseconds from, std::chrono::milliseconds until)
    {
        for (auto now = from; now <= until; now += 250ms)
        {
            core.on_tick(at(now));
        }
    }

    bool is_uncertain(std::chrono::milliseconds now, std::uint16_t number)
    {
        core.on_message(at(now), entry, owner_query{test_flow(number), 1});
        return messages_of<owner_answer>(output.sent).back().answer ==
               ownership::uncertain;
    }
};

// Idle limits are 15 s unless the policy states another.
BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_cannot_tell_before_the_idle_limit, restarted_fixture)
{
    tick_until(0ms, 15'000ms);
    BOOST_TEST(is_uncertain(15'000ms, 1));
    BOOST_TEST(!is_uncertain(15'001ms, 1));
}

// A policy with a shorter limit does not shorten the time for which flows from
// before it are kept.
BOOST_FIXTURE_TEST_CASE(
    the_largest_idle_limit_since_the_start_counts, restarted_fixture)
{
    const auto with_limit = [](std::uint64_t revision, auto limit)
    {
        configuration value = test_policy(revision)->value();
        value.number = revision;
        value.flow_idle_limit = limit;
        return std::make_shared<policy>(
            store_position{0, revision}, std::move(value));
    };
    core.on_policy(at(10ms), with_limit(8, 20'000ms));
    core.on_policy(at(20ms), with_limit(9, 12'000ms));
    tick_until(250ms, 20'000ms);
    BOOST_TEST(is_uncertain(20'000ms, 1));
    BOOST_TEST(!is_uncertain(20'001ms, 1));
}

// Packets that passed while the process was suspended were not seen.
BOOST_FIXTURE_TEST_CASE(
    a_suspension_restarts_the_time_until_a_companion_can_tell,
    restarted_fixture)
{
    tick_until(0ms, 10'000ms);
    tick_until(12'000ms, 27'000ms);
    BOOST_TEST(is_uncertain(27'000ms, 1));
    BOOST_TEST(!is_uncertain(27'001ms, 1));
}

// A starved upstream does not answer for longer than the record of a probe is
// kept. It holds the flow, whose caller has just sent a packet.
BOOST_FIXTURE_TEST_CASE(
    an_unanswered_probe_is_not_denied_after_the_idle_limit, restarted_fixture)
{
    tick_until(0ms, 14'000ms);
    core.on_caller_packet(
        at(14'000ms), entry, data_packet(test_flow(1), 1'001, 2));
    tick_until(14'250ms, 16'000ms);
    BOOST_TEST(is_uncertain(16'000ms, 1));
    tick_until(16'250ms, 28'000ms);
    BOOST_TEST(is_uncertain(28'000ms, 1));
    tick_until(28'250ms, 29'000ms);
    BOOST_TEST(!is_uncertain(29'001ms, 1));
}

// Packets of lost flows arrive now and then. They must not keep the companion
// uncertain.
BOOST_FIXTURE_TEST_CASE(
    a_probe_that_the_upstream_returned_does_not_extend_the_time,
    restarted_fixture)
{
    const flow_packet packet = data_packet(test_flow(2), 1'001, 2);
    tick_until(0ms, 5'000ms);
    core.on_caller_packet(at(5'000ms), entry, packet);
    core.on_upstream_packet(at(5'001ms), bounced(packet));
    tick_until(5'250ms, 15'000ms);
    BOOST_TEST(!is_uncertain(15'001ms, 1));
}

// The table was full, so the flow of this packet is not recorded.
BOOST_AUTO_TEST_CASE(
    a_flow_that_a_full_table_could_not_record_is_not_denied_after_the_limit)
{
    recording_companion_output output;
    recording_event_sink events;
    companion_flow_settings settings{"side-1",           "meetups", "kgl-nyr",
                                     {0x0A010023, 8232}, 1'000ms,   60s};
    settings.max_flows = 0;
    companion_flow_core core(settings, output, events);
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(50));
    for (auto now = 0ms; now <= 16'000ms; now += 250ms)
    {
        core.on_tick(at(now));
        if (now == 14'000ms)
        {
            core.on_caller_packet(
                at(now), entry, data_packet(test_flow(1), 1'001, 2));
        }
    }
    core.on_message(at(16'000ms), entry, owner_query{test_flow(1), 1});
    BOOST_TEST(
        (messages_of<owner_answer>(output.sent).back().answer ==
         ownership::uncertain));
}

// The configuration leaves the flow where it is; entries that start later do
// not know that its route ever named this service.
BOOST_FIXTURE_TEST_CASE(
    reports_name_changed_routes_while_the_upstream_holds_their_flows,
    companion_fixture)
{
    make_ready();
    open(test_flow(1), at(1ms));
    configuration changed = test_policy(8)->value();
    changed.routes[0].service = "papers";
    core.on_policy(
        at(2ms),
        std::make_shared<policy>(store_position{0, 8}, std::move(changed)));
    core.on_message(at(3ms), entry, entry_hello{});
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(!reports.empty());
    BOOST_REQUIRE(reports.back().former_targets.size() == 1U);
    BOOST_TEST((reports.back().former_targets[0] == test_flow(1).target));

    for (auto now = 250ms; now <= 20s; now += 250ms)
    {
        core.on_tick(at(now));
    }
    core.on_message(at(20s), entry, entry_hello{});
    BOOST_TEST(messages_of<companion_report>(output.sent)
                   .back()
                   .former_targets.empty());
}

BOOST_AUTO_TEST_SUITE_END()
