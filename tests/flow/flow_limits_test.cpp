// Size and age limits of the flow tables of entries and companions.

#include "companion_fixture.hpp"
#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

constexpr std::size_t max_table_size = 4;

companion_flow_settings small_companion()
{
    companion_flow_settings settings;
    settings.service = "meetups";
    settings.failure_domain = "kgl-nyr";
    settings.upstream_address = upstream_address;
    settings.max_flows = max_table_size;
    return settings;
}

struct small_companion_fixture : companion_fixture
{
    small_companion_fixture()
    {
        this->limited.on_policy(at(0ms), test_policy(7));
        this->limited.on_status(at(0ms), ready_status(1));
    }

    /// Opens a flow whose first request is answered, so that none is in flight.
    void open_idle_flow(const flow_endpoints& flow, time_point now)
    {
        this->limited.on_caller_packet(now, entry, opening_packet(flow));
        this->limited.on_upstream_packet(
            now, accepting_packet(flow, upstream_sequence));
        this->limited.on_caller_packet(
            now, entry, data_packet(flow, 1'001, upstream_sequence + 1));
        flow_packet answer = data_packet(flow, upstream_sequence + 1, 1'101);
        answer.origin = packet_origin::upstream;
        this->limited.on_upstream_packet(now, answer);
    }

    companion_flow_core limited{small_companion(), output, events};
};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_limits)

BOOST_FIXTURE_TEST_CASE(
    a_companion_with_a_full_table_refuses_new_flows, small_companion_fixture)
{
    for (std::uint16_t i = 0; i < max_table_size; ++i)
    {
        open_idle_flow(test_flow(i), at(1ms));
    }
    output.sent.clear();

    limited.on_caller_packet(at(2ms), entry, opening_packet(test_flow(9)));

    BOOST_TEST(limited.flow_count() == max_table_size);
    BOOST_TEST(
        to_string(refusal()) ==
        std::string(to_string(result_code::not_run_overloaded)));
}

BOOST_FIXTURE_TEST_CASE(
    a_half_full_companion_evicts_flows_beyond_the_age_limit,
    small_companion_fixture)
{
    open_idle_flow(test_flow(1), at(0ms));
    open_idle_flow(test_flow(2), at(30'000ms));
    for (auto now = 0ms; now <= 61'000ms; now += 1'000ms)
    {
        for (const std::uint16_t number : {1, 2})
        {
            limited.on_caller_packet(
                at(now), entry,
                data_packet(test_flow(number), 1'101, upstream_sequence + 1));
        }
        limited.on_tick(at(now));
    }
    BOOST_TEST(limited.flow_count() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_below_half_full_keeps_flows_beyond_the_age_limit,
    small_companion_fixture)
{
    open_idle_flow(test_flow(1), at(0ms));
    for (auto now = 0ms; now <= 61'000ms; now += 1'000ms)
    {
        limited.on_caller_packet(
            at(now), entry,
            data_packet(test_flow(1), 1'101, upstream_sequence + 1));
        limited.on_tick(at(now));
    }
    BOOST_TEST(limited.flow_count() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
    a_full_entry_evicts_flows_beyond_the_age_limit, entry_fixture)
{
    entry_flow_settings settings{"kgl-nyr", max_table_size, 60s};
    entry_flow_core limited(settings, output, events);
    limited.on_policy(at(0ms), test_policy(7));
    limited.on_message(at(0ms), companion(1), ready_report(1));
    for (std::uint16_t i = 0; i < max_table_size + 2; ++i)
    {
        const auto opened = i < 3 ? at(0ms) : at(50'000ms);
        limited.on_message(
            opened, companion(1), flow_opened{test_flow(i), 1, {}});
    }
    for (auto now = 50'000ms; now <= 62'000ms; now += 1'000ms)
    {
        for (std::uint16_t i = 0; i < max_table_size + 2; ++i)
        {
            limited.on_caller_packet(
                at(now), data_packet(test_flow(i), 1'001, 2));
        }
        limited.on_message(at(now), companion(1), ready_report(1));
        limited.on_tick(at(now));
    }
    BOOST_TEST(limited.flow_count() <= max_table_size);
}

BOOST_FIXTURE_TEST_CASE(
    flows_are_not_idle_while_the_companion_is_suspended, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));

    core.on_tick(at(30'000ms));

    core.on_caller_packet(
        at(30'001ms), entry,
        data_packet(test_flow(1), 1'101, upstream_sequence + 1));
    BOOST_TEST(output.to_upstream == 3U);
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
}

BOOST_FIXTURE_TEST_CASE(
    an_evicted_flow_that_is_in_use_is_not_denied, small_companion_fixture)
{
    open_idle_flow(test_flow(1), at(0ms));
    open_idle_flow(test_flow(2), at(30'000ms));
    const flow_packet packet =
        data_packet(test_flow(1), 1'101, upstream_sequence + 1);
    for (auto now = 0ms; now <= 61'000ms; now += 1'000ms)
    {
        limited.on_caller_packet(at(now), entry, packet);
        limited.on_caller_packet(
            at(now), entry,
            data_packet(test_flow(2), 1'101, upstream_sequence + 1));
        limited.on_status(
            at(now), ready_status(2 + static_cast<std::uint64_t>(now / 1s)));
        limited.on_tick(at(now));
    }
    BOOST_REQUIRE(limited.flow_count() == 1U);
    output.sent.clear();

    limited.on_message(
        at(61'100ms), entry, owner_query{test_flow(1), upstream_sequence + 1});
    limited.on_caller_packet(at(61'200ms), entry, packet);

    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::uncertain));
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
}

BOOST_FIXTURE_TEST_CASE(
    a_full_table_is_no_reason_to_deny_a_flow, companion_fixture)
{
    companion_flow_core limited(small_companion(), output, events);
    limited.on_status(at(0ms), ready_status(40));
    for (std::uint16_t i = 0; i <= max_table_size; ++i)
    {
        limited.on_caller_packet(
            at(10ms), entry, data_packet(test_flow(i), 1'101, 5'001));
    }
    BOOST_TEST(limited.flow_count() == max_table_size);
    BOOST_TEST(output.to_upstream == max_table_size + 1);
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
}

BOOST_AUTO_TEST_SUITE_END()
