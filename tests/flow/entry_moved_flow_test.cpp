// Flows of a route that named other services before: who is asked, in which
// order, before a packet goes to an upstream that has not said that it holds
// the flow.

#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

/// How the entry may know that the flow can be at companion 3 or 4, of
/// "papers".
enum class knowledge
{
    change_seen,   ///< It had the policy that named the service.
    flow_reported, ///< Companion 3 reports that it holds flows of the route.
    unclear,       ///< Both have restarted, and may hold any flow.
    not_reported   ///< Both are listed, and have not reported.
};

/// What companions 1 and 2, of the route's present service, answer.
enum class present_answer
{
    absent,
    uncertain,
    none
};

struct lookup_case
{
    const char* name;
    knowledge known;
    present_answer present;
    /// Resets after all that may hold the flow have been tried. A silent
    /// companion, or one that may hold flows of any route, prevents one.
    std::size_t resets;
};

std::ostream& operator<<(std::ostream& stream, const lookup_case& value)
{
    return stream << value.name;
}

const std::vector<lookup_case> lookup_cases{
    {"change_seen_and_present_ones_deny", knowledge::change_seen,
     present_answer::absent, 1},
    {"change_seen_and_present_ones_cannot_tell", knowledge::change_seen,
     present_answer::uncertain, 1},
    {"change_seen_and_present_ones_are_silent", knowledge::change_seen,
     present_answer::none, 0},
    {"reported_and_present_ones_cannot_tell", knowledge::flow_reported,
     present_answer::uncertain, 1},
    {"reported_and_present_ones_are_silent", knowledge::flow_reported,
     present_answer::none, 0},
    {"unclear_and_present_ones_deny", knowledge::unclear,
     present_answer::absent, 0},
    {"unclear_and_present_ones_cannot_tell", knowledge::unclear,
     present_answer::uncertain, 0},
    {"unclear_and_present_ones_are_silent", knowledge::unclear,
     present_answer::none, 0},
    {"not_reported_and_present_ones_cannot_tell", knowledge::not_reported,
     present_answer::uncertain, 0}};

const flow_endpoints flow = test_flow(1);

struct moved_flow_fixture : entry_fixture
{
    void learn(knowledge value)
    {
        if (value == knowledge::change_seen)
        {
            configuration former = test_policy(6)->value();
            former.routes[0].service = "papers";
            this->core.on_policy(
                at(0ms), std::make_shared<policy>(
                             store_position{0, 6}, std::move(former)));
        }
        this->make_ready(2);
        this->list_for_a_time({3, 4}, "papers");
        for (const std::uint16_t i : {3, 4})
        {
            companion_report report = report_of_service(i, "papers");
            if (value == knowledge::flow_reported && i == 3)
            {
                report.former_targets = {flow.target};
            }
            report.may_hold_other_flows = value == knowledge::unclear;
            if (value != knowledge::not_reported)
            {
                this->core.on_message(at(0ms), companion(i), report);
            }
        }
        this->output.sent.clear();
    }

    void
    answer(std::chrono::milliseconds now, std::uint16_t number, ownership value)
    {
        this->core.on_message(
            at(now), companion(number), answer_to(flow, value));
    }

    /// Companions 1 and 2 answer, or the time for answers passes.
    void answer_of_present(present_answer value)
    {
        if (value == present_answer::none)
        {
            this->core.on_tick(at(40ms));
            return;
        }
        for (const std::uint16_t i : {1, 2})
        {
            this->answer(
                2ms, i,
                value == present_answer::absent ? ownership::absent
                                                : ownership::uncertain);
        }
    }

    std::set<instance_id> queried() const
    {
        std::set<instance_id> result;
        for (const sent_message& message : this->output.sent)
        {
            if (std::holds_alternative<owner_query>(message.body))
            {
                result.insert(message.to);
            }
        }
        return result;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_moved_flow)

// Guards against packets at upstreams of the new service while the companion of
// the flow's own was never asked.
BOOST_DATA_TEST_CASE_F(
    moved_flow_fixture,
    no_packet_is_tried_before_all_that_may_hold_the_flow_were_asked,
    boost::unit_test::data::make(lookup_cases),
    item)
{
    learn(item.known);
    core.on_caller_packet(at(1ms), data_packet(flow, 1'001, 2));
    answer_of_present(item.present);

    BOOST_TEST(output.packets.empty());
    BOOST_TEST(
        (queried() ==
         std::set<instance_id>{
             companion(1), companion(2), companion(3), companion(4)}));
    answer(41ms, 4, ownership::uncertain);
    BOOST_TEST(output.packets.empty());

    answer(42ms, 3, ownership::owned);

    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(3)));
}

BOOST_DATA_TEST_CASE_F(
    moved_flow_fixture,
    each_companion_that_cannot_tell_gets_one_packet_until_one_holds_the_flow,
    boost::unit_test::data::make(lookup_cases),
    item)
{
    learn(item.known);
    const flow_packet packet = data_packet(flow, 1'001, 2);
    core.on_caller_packet(at(1ms), packet);
    answer_of_present(item.present);
    for (const std::uint16_t i : {3, 4})
    {
        answer(42ms, i, ownership::uncertain);
    }
    const auto queries = messages_of<owner_query>(output.sent).size();
    const std::size_t uncertain =
        item.present == present_answer::uncertain ? 4 : 2;
    for (std::size_t i = 0; i < uncertain; ++i)
    {
        BOOST_REQUIRE(output.packets.size() == i + 1);
        const auto number = static_cast<std::uint16_t>(
            output.packets.back().address -
            companion_packet_address(0).address);
        core.on_returned_packet(at(43ms), companion(number), packet);
    }

    const std::set<endpoint> tried(
        output.packets.begin(), output.packets.end());
    BOOST_TEST(tried.size() == uncertain);
    BOOST_TEST(output.packets.size() == uncertain);
    // The answers are remembered.
    BOOST_TEST(messages_of<owner_query>(output.sent).size() == queries);
    BOOST_TEST(output.resets.size() == item.resets);
}

// The reset of a flow that a companion which did not answer may hold.
BOOST_FIXTURE_TEST_CASE(
    a_silent_companion_of_a_former_service_prevents_a_reset, moved_flow_fixture)
{
    learn(knowledge::change_seen);
    core.on_caller_packet(at(1ms), data_packet(flow, 1'001, 2));
    answer_absent(2ms, {1, 2, 4}, flow);
    for (auto now = 10ms; now < 1'000ms; now += 10ms)
    {
        core.on_tick(at(now));
    }
    BOOST_TEST(output.resets.empty());
    BOOST_TEST(output.packets.empty());
    const auto missing = std::find_if(
        events.events.begin(), events.events.end(),
        [](const flow_event& event)
        { return event.kind == flow_event_kind::owner_missing; });
    BOOST_TEST((missing != events.events.end()));
}

struct fleet_case
{
    const char* name;
    bool have_restarted;
    std::size_t most_queries;
};

std::ostream& operator<<(std::ostream& stream, const fleet_case& value)
{
    return stream << value.name;
}

// A started entry beside 2,000 companions of 100 services.
const std::vector<fleet_case> fleet_cases{
    {"no_companion_has_restarted", false, 20},
    {"all_companions_have_restarted", true, 20 + 256}};

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    a_started_entry_does_not_ask_every_companion_of_a_large_fleet,
    boost::unit_test::data::make(fleet_cases),
    item)
{
    make_ready(20);
    for (std::uint16_t i = 21; i <= 2'000; ++i)
    {
        companion_report report =
            report_of_service(i, "service-" + std::to_string(i / 20));
        report.may_hold_other_flows = item.have_restarted;
        core.on_message(at(0ms), companion(i), report);
    }
    output.sent.clear();
    core.on_caller_packet(at(1ms), data_packet(flow, 1'001, 2));
    for (std::size_t i = 0; i < output.sent.size(); ++i)
    {
        if (std::holds_alternative<owner_query>(output.sent[i].body))
        {
            core.on_message(
                at(2ms), output.sent[i].to, answer_to(flow, ownership::absent));
        }
    }
    BOOST_TEST(
        messages_of<owner_query>(output.sent).size() <= item.most_queries);
}

BOOST_AUTO_TEST_SUITE_END()
