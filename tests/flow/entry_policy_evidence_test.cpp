// Cases in which a missing or changed route must not count as evidence that a
// flow is gone, and cases in which it must not prevent a reset for long.

#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(entry_evidence)

namespace
{

/// Companions 1 and 2 serve "meetups", 3 and 4 "papers", which the route names
/// from version 8 on. Flow 1 was opened at companion 1 through another entry,
/// before the change.
struct changed_route_fixture : entry_fixture
{
    changed_route_fixture()
    {
        this->make_ready(2);
        this->list_for_a_time({3, 4}, "papers");
        for (const std::uint16_t i : {3, 4})
        {
            companion_report report = report_of_service(i, "papers");
            this->core.on_message(at(0ms), companion(i), report);
        }
        configuration changed = test_policy(8)->value();
        changed.routes[0].service = "papers";
        this->core.on_policy(
            at(1ms),
            std::make_shared<policy>(store_position{0, 8}, std::move(changed)));
        this->output.sent.clear();
    }
};

} // namespace

// A configuration leaves open flows where they are unless it removes their
// route.
BOOST_FIXTURE_TEST_CASE(
    an_open_flow_is_not_reset_because_its_route_now_names_another_service,
    changed_route_fixture)
{
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3, 4}, test_flow(1));
    BOOST_TEST(output.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(
    an_open_flow_is_found_in_the_service_that_its_route_named_before,
    changed_route_fixture)
{
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3, 4, 2}, test_flow(1));
    core.on_message(
        at(4ms), companion(1), answer_to(test_flow(1), ownership::owned));
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(1)));
}

// Companion 1 has restarted and cannot tell. Its upstream sees one packet of
// the flow, after all others have denied it.
BOOST_FIXTURE_TEST_CASE(
    a_companion_of_a_former_service_that_cannot_tell_prevents_a_reset,
    changed_route_fixture)
{
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'101, 2));
    answer_absent(3ms, {3, 4}, test_flow(1));
    core.on_message(
        at(4ms), companion(1), answer_to(test_flow(1), ownership::uncertain));
    BOOST_TEST(output.packets.empty());

    answer_absent(5ms, {2}, test_flow(1));

    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(1)));
}

// Companion 5 has restarted and cannot tell as long as its upstream lives. The
// route never named its service.
BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_of_an_unrelated_service_prevents_no_reset,
    changed_route_fixture)
{
    companion_report report = report_of_service(5, "tickets");
    core.on_message(at(1ms), companion(5), report);
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3, 4, 1, 2}, test_flow(1));
    core.on_message(
        at(4ms), companion(5), answer_to(test_flow(1), ownership::uncertain));
    BOOST_TEST(output.resets.size() == 1U);
    BOOST_TEST(output.packets.empty());
}

// The route named "papers" until 61 s ago. The flow is older, and companion 3
// has restarted.
BOOST_FIXTURE_TEST_CASE(
    an_old_flow_is_not_reset_while_a_companion_of_its_service_cannot_tell,
    entry_fixture)
{
    configuration former = test_policy(6)->value();
    former.routes[0].service = "papers";
    core.on_policy(
        at(0ms),
        std::make_shared<policy>(store_position{0, 6}, std::move(former)));
    make_ready(2);
    for (auto now = 0ms; now <= 61'000ms; now += 250ms)
    {
        core.on_message(at(now), companion(3), report_of_service(3, "papers"));
        report_from({1, 2}, now, now);
    }
    core.on_caller_packet(at(61'001ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(61'002ms, {1, 2}, test_flow(1));
    core.on_message(
        at(61'003ms), companion(3),
        answer_to(test_flow(1), ownership::uncertain));
    BOOST_TEST(output.resets.empty());
}

// The companion of the former service can tell after the idle limit.
BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_of_a_former_service_prevents_a_reset_until_it_can_tell,
    changed_route_fixture)
{
    std::chrono::milliseconds now = 0ms;
    for (; now <= 61'000ms; now += 250ms)
    {
        for (const std::uint16_t i : {1, 2, 3, 4})
        {
            companion_report report = ready_report(i);
            report.service = i <= 2 ? "meetups" : "papers";
            core.on_message(at(now), companion(i), report);
        }
        core.on_tick(at(now));
    }
    core.on_caller_packet(at(now), data_packet(test_flow(1), 1'001, 2));
    answer_absent(now, {3, 4, 2}, test_flow(1));
    core.on_message(
        at(now), companion(1), answer_to(test_flow(1), ownership::uncertain));
    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST(
        to_string(output.packets[0]) == to_string(companion_packet_address(1)));

    // The companion can tell now, and returns the next packet.
    now += 200ms;
    const flow_packet packet = data_packet(test_flow(1), 1'001, 2);
    core.on_caller_packet(at(now), packet);
    BOOST_TEST(output.packets.size() == 2U);
    core.on_returned_packet(at(now), companion(1), packet);
    answer_absent(now, {3, 4, 2, 1}, test_flow(1));
    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_flow_that_no_companion_of_former_services_holds_is_reset,
    changed_route_fixture)
{
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3, 4, 1, 2}, test_flow(1));
    BOOST_TEST(output.resets.size() == 1U);
}

// Former services are queried only before a reset.
BOOST_FIXTURE_TEST_CASE(
    former_services_are_not_queried_for_a_flow_that_the_present_one_holds,
    changed_route_fixture)
{
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3}, test_flow(1));
    core.on_message(
        at(3ms), companion(4), answer_to(test_flow(1), ownership::owned));
    BOOST_TEST(messages_of<owner_query>(output.sent).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_of_a_former_service_that_becomes_known_is_queried,
    changed_route_fixture)
{
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3, 4}, test_flow(1));
    core.on_message(at(4ms), companion(5), ready_report(5));
    answer_absent(5ms, {1, 2}, test_flow(1));
    BOOST_TEST(output.resets.empty());
    core.on_message(
        at(6ms), companion(5), answer_to(test_flow(1), ownership::owned));
    BOOST_TEST(output.packets.size() == 1U);
}

// Others state three companions of the former service.
BOOST_FIXTURE_TEST_CASE(
    a_flow_is_not_reset_while_a_companion_of_a_former_service_is_not_known,
    changed_route_fixture)
{
    for (const std::uint16_t i : {1, 2})
    {
        core.on_message(at(1ms), companion(i), sized_report(i, 3));
    }
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3, 4, 1, 2}, test_flow(1));
    BOOST_TEST(output.resets.empty());
}

// The entry saw the change of the route, but read the list of companions only
// after those of the former service had lost their registrations.
BOOST_FIXTURE_TEST_CASE(
    a_former_service_of_which_no_companion_is_known_may_hold_a_flow,
    entry_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    configuration changed = test_policy(8)->value();
    changed.routes[0].service = "papers";
    core.on_policy(
        at(1ms),
        std::make_shared<policy>(store_position{0, 8}, std::move(changed)));
    companion_report report = report_of_service(3, "papers");
    report.service_size = 1;
    core.on_message(at(1ms), companion(3), report);
    core.on_list_read(at(1ms));
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {3}, test_flow(1));
    BOOST_TEST(output.resets.empty());
}

// An upstream that gets no acknowledgements stops sending.
BOOST_FIXTURE_TEST_CASE(
    former_services_are_queried_once_for_a_packet_without_payload,
    changed_route_fixture)
{
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2, 0));
    answer_absent(3ms, {3, 4}, test_flow(1));
    BOOST_TEST(messages_of<owner_query>(output.sent).size() == 4U);
    answer_absent(4ms, {1, 2}, test_flow(1));
    BOOST_TEST(messages_of<owner_query>(output.sent).size() == 4U);
    BOOST_TEST(output.resets.empty());
}

// The entry started after the change, and cannot know what the route named.
BOOST_FIXTURE_TEST_CASE(
    a_started_entry_resets_no_flow_that_a_former_service_of_its_route_holds,
    entry_fixture)
{
    make_ready(2);
    companion_report report = report_of_service(3, "papers");
    report.former_targets = {test_flow(1).target};
    core.on_message(at(0ms), companion(3), report);
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {1, 2}, test_flow(1));
    BOOST_TEST(output.resets.empty());

    core.on_message(
        at(4ms), companion(3), answer_to(test_flow(1), ownership::owned));
    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 1U);
    BOOST_TEST((output.packets[0] == companion_packet_address(3)));
}

namespace
{

/// What a companion of another service reports about flows of other routes.
struct unclear_report
{
    const char* name;
    std::uint64_t policy_revision;
    bool may_hold_other_flows;
    std::chrono::milliseconds now;
    std::size_t expected_resets;
};

const std::vector<unclear_report> unclear_reports{
    {"has restarted", 7, true, 2ms, 0},
    {"has an older policy", 6, false, 2ms, 0},
    {"knows all its flows", 7, false, 2ms, 1},
    {"has restarted, and flows from before have ended", 7, true, 60s, 1}};

std::ostream& operator<<(std::ostream& stream, const unclear_report& item)
{
    return stream << item.name;
}

} // namespace

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    a_started_entry_resets_no_flow_that_a_companion_may_hold_without_knowing,
    boost::unit_test::data::make(unclear_reports),
    item)
{
    make_ready(2);
    companion_report report = report_of_service(3, "papers");
    report.may_hold_other_flows = item.may_hold_other_flows;
    report.policy.position.revision = item.policy_revision;
    core.on_message(at(0ms), companion(3), report);
    report_from({1, 2}, 0ms, item.now);
    core.on_message(at(item.now), companion(3), report);
    core.on_caller_packet(at(item.now), data_packet(test_flow(1), 1'001, 2));
    answer_absent(item.now + 1ms, {1, 2}, test_flow(1));
    BOOST_TEST(output.resets.size() == item.expected_resets);
}

// A packet of an unknown flow, which anyone may send, causes no queries at
// companions of services that the route never named.
BOOST_FIXTURE_TEST_CASE(
    unrelated_services_neither_prevent_resets_nor_are_queried, entry_fixture)
{
    make_ready(2);
    for (std::uint16_t i = 3; i < 303; ++i)
    {
        companion_report report = report_of_service(i, "papers");
        core.on_message(at(0ms), companion(i), report);
    }
    core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(2ms, {1, 2}, test_flow(1));
    BOOST_TEST(messages_of<owner_query>(output.sent).size() == 2U);
    BOOST_TEST(output.resets.size() == 1U);
}

// The flow was opened through an entry that had the route's version already.
BOOST_FIXTURE_TEST_CASE(
    an_open_flow_is_not_reset_by_an_entry_that_has_not_read_its_route_yet,
    entry_fixture)
{
    make_ready(2);
    flow_endpoints flow = test_flow(1);
    flow.target = {0xC6120009, 443};
    core.on_caller_packet(at(1ms), data_packet(flow, 1'001, 2));
    BOOST_TEST(output.resets.empty());
}

// The same if a companion reports a newer policy, which is being fetched.
BOOST_FIXTURE_TEST_CASE(
    an_open_flow_is_not_reset_for_its_route_while_a_newer_policy_is_fetched,
    entry_fixture)
{
    make_ready(2);
    companion_report report = ready_report(1);
    report.policy.position.revision = 9;
    report.policy.version = 9;
    core.on_message(at(1ms), companion(1), report);
    BOOST_REQUIRE(output.fetches.size() == 1U);
    flow_endpoints flow = test_flow(1);
    flow.target = {0xC6120009, 443};
    core.on_caller_packet(at(2ms), data_packet(flow, 1'001, 2));
    BOOST_TEST(output.resets.empty());
}

// Version 8 removed the route and version 9 restored it. The flow was opened
// through an entry that has version 9 already; this one fetches it.
BOOST_FIXTURE_TEST_CASE(
    a_removed_route_is_no_evidence_while_a_newer_policy_is_fetched,
    entry_fixture)
{
    make_ready(2);
    configuration removed = test_policy(8)->value();
    removed.routes.erase(removed.routes.begin());
    core.on_policy(
        at(1ms),
        std::make_shared<policy>(store_position{0, 8}, std::move(removed)));
    companion_report report = ready_report(1);
    report.policy.position.revision = 9;
    report.policy.version = 9;
    core.on_message(at(2ms), companion(1), report);
    BOOST_REQUIRE(!output.fetches.empty());
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'001, 2));
    BOOST_TEST(output.resets.empty());
}

// The same for a route that names another service in the newer policy.
BOOST_FIXTURE_TEST_CASE(
    a_flow_is_not_reset_while_a_newer_policy_is_fetched, entry_fixture)
{
    make_ready(2);
    companion_report report = ready_report(1);
    report.policy = mark_at(9);
    core.on_message(at(1ms), companion(1), report);
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(3ms, {1, 2}, test_flow(1));
    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(!events.events.empty());
    BOOST_TEST((events.events.back().kind == flow_event_kind::owner_missing));

    core.on_policy(at(4ms), test_policy(9));
    core.on_caller_packet(at(200ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(201ms, {1, 2}, test_flow(1));
    BOOST_TEST(output.resets.size() == 1U);
}

// Guard: the newest of two policies counts, also if the older one is reported
// last.
BOOST_FIXTURE_TEST_CASE(
    a_flow_is_not_reset_while_only_the_older_of_two_policies_was_fetched,
    entry_fixture)
{
    make_ready(2);
    for (const std::uint16_t i : {1, 2})
    {
        companion_report report = ready_report(i);
        report.policy = mark_at(10U - i);
        core.on_message(at(1ms), companion(i), report);
    }
    core.on_policy(at(2ms), test_policy(8));
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(4ms, {1, 2}, test_flow(1));
    BOOST_TEST(output.resets.empty());
}

BOOST_AUTO_TEST_SUITE_END()
