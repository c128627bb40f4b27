// What a companion concludes from the presence check of its upstream: a refused
// connection proves that no earlier flow is held, anything else proves nothing.

#include "companion_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace masticslip
{

std::ostream& operator<<(std::ostream& stream, upstream_presence value)
{
    return stream
           << (value == upstream_presence::running  ? "running"
               : value == upstream_presence::absent ? "absent"
                                                    : "unknown");
}

std::ostream& operator<<(std::ostream& stream, ownership value)
{
    return stream
           << (value == ownership::absent  ? "absent"
               : value == ownership::owned ? "owned"
                                           : "uncertain");
}

} // namespace masticslip

namespace
{

struct presence_fixture : companion_fixture
{
    presence_fixture()
    {
        this->core.on_policy(at(0ms), test_policy(7));
        this->core.on_message(at(0ms), entry, entry_hello{mark_at(7), true, 0});
    }

    /// Ticks until a check is requested and answers it a millisecond later.
    void check(std::chrono::milliseconds now, upstream_presence result)
    {
        const std::size_t before = this->output.presence_checks;
        this->core.on_tick(at(now));
        BOOST_REQUIRE(this->output.presence_checks == before + 1);
        this->core.on_presence(at(now + 1ms), result);
    }

    void
    tick_until(std::chrono::milliseconds from, std::chrono::milliseconds until)
    {
        for (auto now = from; now <= until; now += 250ms)
        {
            this->core.on_tick(at(now));
        }
    }

    ownership answer(std::chrono::milliseconds now)
    {
        this->core.on_message(at(now), entry, owner_query{test_flow(1), 1});
        return messages_of<owner_answer>(this->output.sent).back().answer;
    }

    companion_report last_report() const
    {
        return messages_of<companion_report>(this->output.sent).back();
    }
};

/// A status of the incarnation that follows that of ready_status().
upstream_status later_status(std::uint64_t sequence)
{
    upstream_status status = ready_status(sequence);
    status.incarnation.started = 2'000'000ms;
    return status;
}

flow_packet upstream_data(const flow_endpoints& flow)
{
    flow_packet packet = accepting_packet(flow, upstream_sequence + 1);
    packet.flags.opens = false;
    packet.payload_size = 100;
    return packet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(companion_presence)

BOOST_FIXTURE_TEST_CASE(
    checks_at_the_start_and_four_times_a_second_without_a_status,
    presence_fixture)
{
    for (auto now = 0ms; now < 2'000ms; now += 50ms)
    {
        core.on_tick(at(now));
        core.on_presence(at(now + 1ms), upstream_presence::unknown);
    }
    BOOST_TEST(output.presence_checks == 8U);
}

BOOST_FIXTURE_TEST_CASE(
    a_check_without_a_result_is_not_sent_again, presence_fixture)
{
    tick_until(0ms, 2'000ms);
    BOOST_TEST(output.presence_checks == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    no_check_while_statuses_arrive_in_time, presence_fixture)
{
    core.on_status(at(0ms), ready_status(1));
    for (std::uint64_t i = 1; i < 10; ++i)
    {
        core.on_tick(at(i * 1'000ms));
        core.on_status(at(i * 1'000ms), ready_status(1 + i));
    }
    BOOST_TEST(output.presence_checks == 0U);
}

struct result_case
{
    upstream_presence result;
    ownership expected;
};

std::ostream& operator<<(std::ostream& stream, const result_case& value)
{
    return stream << value.result;
}

// A companion that has restarted has no status yet. A process that listens, or
// a check that timed out, says nothing about the flows.
BOOST_DATA_TEST_CASE_F(
    presence_fixture,
    only_a_refused_connection_is_evidence,
    boost::unit_test::data::make(std::vector<result_case>{
        {upstream_presence::running, ownership::uncertain},
        {upstream_presence::unknown, ownership::uncertain},
        {upstream_presence::absent, ownership::absent}}),
    item)
{
    check(0ms, item.result);
    BOOST_TEST(answer(10ms) == item.expected);
    core.on_caller_packet(at(20ms), entry, data_packet(test_flow(2), 1'001, 2));
    BOOST_TEST(
        messages_of<packet_returned>(output.sent).size() ==
        (item.expected == ownership::absent ? 1U : 0U));
}

// Otherwise the caller's flow stays assigned to the companion as a probe that
// nobody answers.
BOOST_FIXTURE_TEST_CASE(
    a_probed_flow_is_returned_once_the_upstream_is_absent, presence_fixture)
{
    const flow_packet packet = data_packet(test_flow(1), 1'001, 2);
    core.on_caller_packet(at(0ms), entry, packet);
    BOOST_TEST(output.to_upstream == 1U);
    check(10ms, upstream_presence::absent);
    core.on_caller_packet(at(200ms), entry, packet);
    BOOST_TEST(output.to_upstream == 1U);
    BOOST_TEST(messages_of<packet_returned>(output.sent).size() == 1U);
}

// The process was suspended between the refusal and its result, and another one
// may have served the upstream meanwhile.
BOOST_FIXTURE_TEST_CASE(
    a_check_from_before_a_suspension_does_not_count, presence_fixture)
{
    core.on_tick(at(0ms));
    core.on_presence(at(5'000ms), upstream_presence::absent);
    BOOST_TEST(answer(5'010ms) == ownership::uncertain);
    check(5'250ms, upstream_presence::absent);
    BOOST_TEST(answer(5'260ms) == ownership::absent);
}

BOOST_FIXTURE_TEST_CASE(
    a_check_from_before_a_status_does_not_count, presence_fixture)
{
    core.on_tick(at(0ms));
    core.on_status(at(10ms), later_status(40));
    core.on_presence(at(20ms), upstream_presence::absent);
    BOOST_TEST(answer(30ms) == ownership::uncertain);
    BOOST_TEST(!core.upstream_is_down());
}

BOOST_FIXTURE_TEST_CASE(
    a_check_from_before_a_packet_of_the_upstream_does_not_count,
    presence_fixture)
{
    core.on_tick(at(0ms));
    core.on_upstream_packet(at(10ms), upstream_data(test_flow(2)));
    core.on_presence(at(20ms), upstream_presence::absent);
    BOOST_TEST(answer(30ms) == ownership::uncertain);
}

// The first status of the new incarnation is lost.
BOOST_FIXTURE_TEST_CASE(
    an_incarnation_after_an_absence_is_observed_from_its_start,
    presence_fixture)
{
    check(0ms, upstream_presence::absent);
    tick_until(250ms, 1'250ms);
    core.on_status(at(1'300ms), later_status(2));
    BOOST_TEST(answer(1'310ms) == ownership::absent);
    BOOST_TEST(!core.upstream_is_down());
}

BOOST_FIXTURE_TEST_CASE(
    a_suspension_ends_what_an_absence_says_about_later_incarnations,
    presence_fixture)
{
    check(0ms, upstream_presence::absent);
    core.on_tick(at(5'000ms));
    BOOST_TEST(answer(5'010ms) == ownership::uncertain);
    core.on_status(at(5'200ms), later_status(3));
    BOOST_TEST(answer(5'210ms) == ownership::uncertain);
}

// An upstream that does not listen refuses connections while it runs. Its flows
// must not be denied once its statuses show that it runs.
BOOST_FIXTURE_TEST_CASE(
    a_status_of_an_incarnation_that_ran_before_refutes_an_absence,
    presence_fixture)
{
    check(0ms, upstream_presence::absent);
    core.on_status(at(100ms), ready_status(50));
    BOOST_TEST(answer(110ms) == ownership::uncertain);
    tick_until(250ms, 2'500ms);
    check(3'000ms, upstream_presence::absent);
    BOOST_TEST(answer(3'010ms) == ownership::uncertain);
    check(3'250ms, upstream_presence::running);
    check(3'500ms, upstream_presence::absent);
    BOOST_TEST(answer(3'510ms) == ownership::absent);
}

BOOST_FIXTURE_TEST_CASE(
    data_of_an_unknown_flow_refutes_an_absence, presence_fixture)
{
    check(0ms, upstream_presence::absent);
    core.on_upstream_packet(at(100ms), upstream_data(test_flow(2)));
    BOOST_TEST(answer(110ms) == ownership::uncertain);
}

BOOST_FIXTURE_TEST_CASE(
    an_opening_that_is_accepted_after_an_absence_does_not_refute_it,
    presence_fixture)
{
    check(0ms, upstream_presence::absent);
    core.on_status(at(100ms), later_status(1));
    open(test_flow(2), at(200ms));
    core.on_upstream_packet(at(220ms), upstream_data(test_flow(2)));
    BOOST_TEST(answer(230ms) == ownership::absent);
}

// The upstream is being replaced when its companion returns from a loss of
// power and is stopped a second later.
BOOST_FIXTURE_TEST_CASE(
    a_stop_states_the_departure_of_an_absent_upstream, presence_fixture)
{
    core.on_tick(at(0ms));
    core.on_presence(at(1ms), upstream_presence::unknown);
    core.on_stop(at(240ms));
    BOOST_TEST(output.presence_checks == 2U);
    BOOST_TEST(last_report().is_stopping);
    BOOST_TEST(!last_report().has_left);
    BOOST_TEST(!core.may_exit(at(250ms)));

    core.on_presence(at(251ms), upstream_presence::absent);

    BOOST_TEST(last_report().has_left);
    BOOST_TEST(core.may_exit(at(252ms)));
    BOOST_TEST(core.upstream_is_down());
}

BOOST_DATA_TEST_CASE_F(
    presence_fixture,
    a_stop_states_no_departure_otherwise,
    boost::unit_test::data::make(std::vector<upstream_presence>{
        upstream_presence::running, upstream_presence::unknown}),
    result)
{
    core.on_status(at(0ms), ready_status(40));
    core.on_stop(at(100ms));
    core.on_presence(at(110ms), result);
    BOOST_TEST(!last_report().has_left);
    BOOST_TEST(core.may_exit(at(111ms)));
    BOOST_TEST(!core.upstream_is_down());
}

// An upstream that returns between two checks is not said to have left.
BOOST_FIXTURE_TEST_CASE(
    a_stop_does_not_use_an_earlier_absence_if_the_upstream_runs,
    presence_fixture)
{
    check(0ms, upstream_presence::absent);
    core.on_stop(at(200ms));
    core.on_presence(at(210ms), upstream_presence::running);
    BOOST_TEST(!last_report().has_left);
    BOOST_TEST(!core.upstream_is_down());
}

BOOST_FIXTURE_TEST_CASE(
    a_stop_waits_at_most_150_ms_for_the_check, presence_fixture)
{
    core.on_stop(at(0ms));
    BOOST_TEST(!core.may_exit(at(149ms)));
    BOOST_TEST(core.may_exit(at(150ms)));
    core.on_message(at(151ms), entry, entry_hello{mark_at(7), true, 0});
    BOOST_TEST(!last_report().has_left);
}

BOOST_FIXTURE_TEST_CASE(
    a_stop_after_a_departure_needs_no_check, presence_fixture)
{
    core.on_status(at(0ms), ready_status(1));
    core.on_departure(at(10ms), ready_status(1).incarnation);
    core.on_stop(at(20ms));
    BOOST_TEST(output.presence_checks == 0U);
    BOOST_TEST(core.may_exit(at(20ms)));
    BOOST_TEST(last_report().has_left);
}

BOOST_FIXTURE_TEST_CASE(
    a_result_that_changes_something_is_an_event, presence_fixture)
{
    check(0ms, upstream_presence::unknown);
    const auto changes = [this]
    {
        return events.count(flow_event_kind::upstream_changed);
    };
    const std::size_t before = changes();
    check(250ms, upstream_presence::absent);
    BOOST_TEST(changes() == before + 1);
    BOOST_TEST(!events.events.empty());
    check(500ms, upstream_presence::absent);
    BOOST_TEST(changes() == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()
