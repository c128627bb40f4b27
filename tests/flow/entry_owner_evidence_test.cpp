// Cases in which the owner of a flow counts as departed, and in which it must
// not.

#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(entry_evidence)

namespace
{

/// Knows companions 1 and 3 of the three that others state, and the owner of no
/// flow.
struct unknown_companion_fixture : entry_fixture
{
    unknown_companion_fixture()
    {
        this->core.on_policy(at(0ms), test_policy(7));
        for (const std::uint16_t i : {1, 3})
        {
            this->core.on_message(at(0ms), companion(i), sized_report(i, 3));
        }
        this->core.on_list_read(at(0ms));
    }
};

/// Keeps the detail of the last event that has one.
class detail_sink final : public flow_event_sink
{
public:
    void on_event(time_point, const flow_event& event) override
    {
        if (!event.detail.empty())
        {
            this->detail = event.detail;
        }
    }

    std::string detail;
};

} // namespace

// Companions 1 and 2 accepted copies of the opening, and the caller continued
// with companion 2, whose numbers it acknowledges and which this entry does not
// know yet. Others state three.
BOOST_FIXTURE_TEST_CASE(
    a_departed_companion_is_no_evidence_while_not_all_companions_are_known,
    entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    for (const std::uint16_t i : {1, 3})
    {
        core.on_message(at(0ms), companion(i), sized_report(i, 3));
    }
    core.on_list_read(at(0ms));
    core.on_message(
        at(1ms), companion(1), flow_opened{test_flow(1), 700'000'000, {}});
    core.on_message(at(2ms), companion(1), gone_report(1));
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(4ms, {3}, test_flow(1));
    BOOST_TEST(output.resets.empty());
}

// Companion 3 holds a hint for a former flow of the same port, to companion 1.
// The present one is at companion 2, which this entry does not know yet.
BOOST_FIXTURE_TEST_CASE(
    a_hint_is_no_confirmation_that_a_departed_companion_was_the_owner,
    entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    for (const std::uint16_t i : {1, 3})
    {
        core.on_message(at(0ms), companion(i), sized_report(i, 3));
    }
    core.on_list_read(at(0ms));
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(
        at(2ms), companion(3),
        answer_to(test_flow(1), ownership::absent, companion(1)));
    core.on_message(at(3ms), companion(1), gone_report(1));
    core.on_caller_packet(at(200ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(
        at(201ms), companion(3),
        answer_to(test_flow(1), ownership::absent, companion(1)));
    BOOST_TEST(output.resets.empty());
}

// Guard for the case above: the same with the numbers of companion 1.
BOOST_FIXTURE_TEST_CASE(
    a_departed_companion_whose_numbers_the_caller_acknowledges_is_evidence,
    unknown_companion_fixture)
{
    core.on_message(
        at(1ms), companion(1), flow_opened{test_flow(1), 700'000'000, {}});
    core.on_message(at(2ms), companion(1), gone_report(1));
    core.on_caller_packet(
        at(3ms), data_packet(test_flow(1), 1'001, 700'000'001));
    answer_absent(4ms, {3}, test_flow(1), 700'000'001);
    BOOST_TEST(output.resets.size() == 1U);
}

// The caller has received more than the window since the flow was opened.
BOOST_FIXTURE_TEST_CASE(
    a_departed_companion_is_evidence_after_a_long_download,
    unknown_companion_fixture)
{
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    std::uint32_t acknowledged = 2;
    for (; acknowledged < 300'000; acknowledged += 50'000)
    {
        core.on_caller_packet(
            at(2ms), data_packet(test_flow(1), 1'001, acknowledged));
    }
    core.on_message(at(3ms), companion(1), gone_report(1));
    core.on_caller_packet(
        at(4ms), data_packet(test_flow(1), 1'001, acknowledged));
    answer_absent(5ms, {3}, test_flow(1), acknowledged);
    BOOST_TEST(output.resets.size() == 1U);
}

// The companion answered a query before it departed.
BOOST_FIXTURE_TEST_CASE(
    a_departed_companion_that_said_that_it_holds_a_flow_is_evidence,
    unknown_companion_fixture)
{
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(
        at(2ms), companion(1), answer_to(test_flow(1), ownership::owned));
    core.on_message(at(3ms), companion(1), gone_report(1));
    core.on_caller_packet(at(4ms), data_packet(test_flow(1), 1'101, 2));
    answer_absent(5ms, {3}, test_flow(1));
    BOOST_TEST(output.resets.size() == 1U);
}

// Guard: an answer of a companion that is not known leaves no record behind.
BOOST_FIXTURE_TEST_CASE(
    an_answer_of_an_unknown_companion_makes_it_no_owner, entry_fixture)
{
    make_ready(1);
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(
        at(2ms), companion(9), answer_to(test_flow(1), ownership::owned));
    BOOST_TEST(core.flow_count() == 0U);
}

// The owner is known to have departed: the packets of its flow belong to no
// upstream of a companion that cannot tell.
BOOST_FIXTURE_TEST_CASE(
    packets_of_a_departed_owner_are_not_tried_at_uncertain_companions,
    entry_fixture)
{
    make_ready(2);
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    core.on_message(at(2ms), companion(1), gone_report(1));
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(
        at(4ms), companion(2), answer_to(test_flow(1), ownership::uncertain));
    BOOST_TEST(output.packets.empty());
    BOOST_TEST(output.resets.size() == 1U);
}

// An operator has to see why the caller of a lost flow waits.
BOOST_AUTO_TEST_CASE(the_reason_against_a_reset_is_part_of_the_event)
{
    recording_entry_output output;
    detail_sink events;
    entry_flow_core core({"kgl-nyr", 1'000}, output, events);
    core.on_policy(at(0ms), test_policy(7));
    core.on_message(at(0ms), companion(1), sized_report(1, 2));
    core.on_list_read(at(0ms));
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    core.on_message(
        at(2ms), companion(1), answer_to(test_flow(1), ownership::absent));
    BOOST_TEST(output.resets.empty());
    BOOST_TEST(
        events.detail.find(" kept=not_all_companions_known ") !=
        std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
