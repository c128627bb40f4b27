// Checks which flows an entry gives up, and which it does not, when companions
// do not answer.

#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(entry_flow)

BOOST_FIXTURE_TEST_CASE(
    a_flow_is_not_reset_because_its_companion_is_silent, entry_fixture)
{
    make_ready(2);
    core.on_listed(at(0ms), registration(1));
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    report_from({2}, 0ms, 9'000ms);
    for (const auto now : {2'000ms, 5'500ms, 9'000ms})
    {
        core.on_caller_packet(at(now), data_packet(test_flow(1), 1'001, 2));
        BOOST_TEST(output.resets.empty());
        BOOST_REQUIRE(!output.packets.empty());
        BOOST_TEST(
            to_string(output.packets.back()) ==
            to_string(companion_packet_address(1)));
    }
}

BOOST_FIXTURE_TEST_CASE(
    a_flow_is_reset_if_its_companion_is_silent_and_no_longer_listed,
    entry_fixture)
{
    make_ready(2);
    core.on_listed(at(0ms), registration(1));
    flow_endpoints upload = test_flow(1);
    upload.target = other_target;
    for (const flow_endpoints& flow : {test_flow(1), upload})
    {
        core.on_message(at(1ms), companion(1), flow_opened{flow, 1, {}});
        core.on_caller_packet(at(2ms), data_packet(flow, 1'001, 2));
    }
    report_from({2}, 0ms, 4'000ms);
    core.on_unlisted(at(4'000ms), companion(1));
    core.on_caller_packet(at(4'000ms), data_packet(test_flow(1), 1'001, 2));
    answer_absent(4'001ms, {2}, test_flow(1));
    BOOST_TEST(output.resets.empty());

    report_from({2}, 4'250ms, 6'000ms);
    for (const flow_endpoints& flow : {test_flow(1), upload})
    {
        core.on_caller_packet(at(6'000ms), data_packet(flow, 1'001, 2));
        answer_absent(6'001ms, {2}, flow);
    }
    BOOST_REQUIRE(output.resets.size() == 1U);
    BOOST_TEST(to_string(output.resets[0]) == to_string(test_flow(1)));
}

// The entry's own link is busy with a policy that all companions fetch: most of
// them seem silent, a few messages still pass.
BOOST_FIXTURE_TEST_CASE(
    no_flow_is_given_up_while_most_companions_are_silent, entry_fixture)
{
    make_ready(4);
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    for (auto now = 0ms; now <= 2'000ms; now += 250ms)
    {
        core.on_message(at(now), companion(4), ready_report(4));
        core.on_tick(at(now));
    }

    core.on_caller_packet(at(2'000ms), data_packet(test_flow(1), 1'101, 2));
    BOOST_TEST(output.resets.empty());

    // Only companion 1, which is not listed, stays silent.
    report_from({2, 3, 4}, 2'250ms, 6'000ms);
    core.on_caller_packet(at(6'000ms), data_packet(test_flow(1), 1'201, 2));
    answer_absent(6'001ms, {2, 3, 4}, test_flow(1));
    BOOST_TEST(output.resets.size() == 1U);
}

// The answers of a busy link arrive one after the other: some companions are
// heard again just before the others.
BOOST_FIXTURE_TEST_CASE(
    no_flow_is_given_up_while_late_answers_arrive, entry_fixture)
{
    constexpr std::uint16_t count = 8;
    make_ready(count);
    core.on_message(at(1ms), companion(1), flow_opened{test_flow(1), 1, {}});
    core.on_caller_packet(at(2ms), data_packet(test_flow(1), 1'001, 2));
    for (auto now = 250ms; now <= 1'500ms; now += 250ms)
    {
        // Each is heard once a second only.
        for (std::uint16_t i = 2; i <= count; ++i)
        {
            if (now == 750ms)
            {
                core.on_message(at(now), companion(i), ready_report(i));
            }
        }
        core.on_tick(at(now));
    }
    for (std::uint16_t i = 2; i <= count; ++i)
    {
        core.on_message(at(1'690ms), companion(i), ready_report(i));
    }

    core.on_caller_packet(at(1'700ms), data_packet(test_flow(1), 1'101, 2));

    BOOST_TEST(output.resets.empty());
}

/// How an entry treats the flows of a route by the kind of its requests.
struct kind_case
{
    const char* name;
    request_kind kind;
    /// Reset if its companion is silent and not listed: the caller may repeat
    /// its requests.
    bool is_given_up;
    /// Placed near although the remote companion has less load.
    bool stays_near;
};

std::ostream& operator<<(std::ostream& stream, const kind_case& value)
{
    return stream << value.name;
}

const std::vector<kind_case> kind_cases{
    {"safe", request_kind::safe, true, false},
    {"unsafe", request_kind::unsafe, false, false},
    {"upload", request_kind::upload, false, true},
    {"download", request_kind::download, true, true}};

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    flows_are_treated_by_the_kind_of_their_requests,
    boost::unit_test::data::make(kind_cases),
    item)
{
    configuration value = test_policy(7)->value();
    value.routes[0].kind = item.kind;
    core.on_policy(
        at(0ms),
        std::make_shared<policy>(store_position{0, 7}, std::move(value)));
    list_for_a_time({1, 2}, "meetups");
    core.on_message(at(0ms), companion(1), ready_report(1, 3));
    companion_report remote = ready_report(2, 0);
    remote.failure_domain = "kgl-gas";
    core.on_message(at(0ms), companion(2), remote);

    core.on_caller_packet(at(1ms), opening_packet(test_flow(1)));
    BOOST_REQUIRE(output.packets.size() == 1U);
    const std::uint16_t chosen = item.stays_near ? 1 : 2;
    BOOST_TEST(
        to_string(output.packets[0]) ==
        to_string(companion_packet_address(chosen)));

    core.on_message(
        at(2ms), companion(chosen), flow_opened{test_flow(1), 1, {}});
    core.on_caller_packet(at(3ms), data_packet(test_flow(1), 1'001, 2));
    const std::uint16_t other = item.stays_near ? 2 : 1;
    report_from({other}, 250ms, 6'000ms);
    core.on_caller_packet(at(6'000ms), data_packet(test_flow(1), 1'101, 2));
    answer_absent(6'001ms, {other}, test_flow(1));
    BOOST_TEST(output.resets.size() == (item.is_given_up ? 1U : 0U));
}

BOOST_AUTO_TEST_SUITE_END()
