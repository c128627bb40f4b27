// A companion that is suspended reads, when it resumes, all that has arrived
// meanwhile: none of it permits a flow that would be refused now.

#include "companion_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(companion_pause)

const std::vector<int> pauses_ms{1'000, 3'000, 10'000};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    companion_keeps_the_cold_rate_when_it_resumes,
    boost::unit_test::data::make(pauses_ms),
    pause_ms)
{
    constexpr std::size_t rate = 4;
    const std::chrono::milliseconds resumed = 120ms + 1ms * pause_ms;
    core.on_policy(at(0ms), test_policy(7, {}, rate));
    upstream_status status = ready_status(1);
    status.cold_for = 20'000ms;
    core.on_status(at(0ms), status);
    std::vector<std::chrono::milliseconds> admitted;
    const auto open_many =
        [&](std::chrono::milliseconds now, std::uint16_t first)
    {
        for (std::uint16_t i = 0; i < 20; ++i)
        {
            const std::size_t before = output.to_upstream;
            core.on_caller_packet(
                at(now), entry,
                opening_packet(
                    test_flow(static_cast<std::uint16_t>(first + i))));
            if (output.to_upstream != before)
            {
                admitted.push_back(now);
            }
        }
    };
    open_many(20ms, 0);
    open_many(resumed, 100);
    for (std::uint64_t i = 2; i < 5; ++i)
    {
        status.sequence = i;
        core.on_status(at(resumed), status);
        core.on_message(at(resumed), entry, entry_hello{mark_at(7), true});
        open_many(resumed, static_cast<std::uint16_t>(100 * i));
    }
    open_many(resumed + 990ms, 1'000);

    for (const auto begin : admitted)
    {
        const auto count = std::count_if(
            admitted.begin(), admitted.end(),
            [begin](auto time)
            { return time >= begin && time - begin < 1'000ms; });
        BOOST_TEST(static_cast<std::size_t>(count) <= rate);
    }
    BOOST_TEST(admitted.size() >= rate);
}

BOOST_FIXTURE_TEST_CASE(
    companion_waits_for_a_status_and_a_policy, companion_fixture)
{
    make_ready();
    core.on_caller_packet(at(5'000ms), entry, opening_packet(test_flow(1)));
    BOOST_TEST(output.to_upstream == 0U);
    core.on_message(at(5'010ms), entry, entry_hello{mark_at(7), true});
    core.on_status(at(5'020ms), ready_status(2));
    core.on_caller_packet(at(5'030ms), entry, opening_packet(test_flow(2)));
    BOOST_TEST(output.to_upstream == 0U, "both may be from before the end");
    core.on_message(at(5'110ms), entry, entry_hello{mark_at(7), true});
    core.on_caller_packet(at(5'115ms), entry, opening_packet(test_flow(2)));
    BOOST_TEST(output.to_upstream == 0U);
    core.on_status(at(5'120ms), ready_status(3));
    core.on_caller_packet(at(5'130ms), entry, opening_packet(test_flow(2)));
    BOOST_TEST(output.to_upstream == 1U);
}

/// What a companion reads first when it resumes.
struct backlog_case
{
    const char* name;
    bool upstream_drains;
    bool domain_is_withdrawn;
};

std::ostream& operator<<(std::ostream& stream, const backlog_case& value)
{
    return stream << value.name;
}

const std::vector<backlog_case> backlog_cases{
    {"the_upstream_drains", true, false},
    {"the_domain_is_withdrawn", false, true}};

// Statuses and hellos from the time of the pause wait in other sockets than
// callers' packets, so they may be read in any order.
BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    companion_takes_no_message_from_the_pause_for_a_confirmation,
    boost::unit_test::data::make(backlog_cases) *
        boost::unit_test::data::make(std::vector<int>{3'000, 10'000}),
    item,
    pause_ms)
{
    make_ready();
    const std::chrono::milliseconds resumed = 120ms + 1ms * pause_ms;
    core.on_tick(at(20ms));
    core.on_status(at(resumed), ready_status(2));
    core.on_message(at(resumed), entry, entry_hello{mark_at(7), true});
    core.on_caller_packet(at(resumed), entry, opening_packet(test_flow(1)));
    upstream_status newest = ready_status(3);
    newest.is_draining = item.upstream_drains;
    core.on_status(at(resumed), newest);
    if (item.domain_is_withdrawn)
    {
        core.on_message(at(resumed), entry, entry_hello{mark_at(9), true});
        core.on_policy(at(resumed + 3ms), test_policy(9, {"kgl-nyr"}));
    }
    BOOST_TEST(output.to_upstream == 0U);
}

/// A reply to a policy fetch that was in flight during the pause.
struct reply_case
{
    const char* name;
    std::uint64_t in_force;
    std::uint64_t reply;
    std::uint64_t stated;
    bool is_admitted;
};

std::ostream& operator<<(std::ostream& stream, const reply_case& value)
{
    return stream << value.name;
}

// Odd revisions withdraw the companion's domain.
const std::vector<reply_case> reply_cases{
    {"an_older_reply_does_not_undo_a_withdrawal", 9, 8, 9, false},
    {"an_older_reply_does_not_withdraw_again", 8, 7, 8, true},
    {"a_reply_older_than_a_peer_states_admits_nothing", 7, 8, 9, false},
    {"the_newest_reply_admits", 7, 8, 8, true}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    companion_judges_a_late_policy_reply_by_its_revision,
    boost::unit_test::data::make(reply_cases) *
        boost::unit_test::data::make(pauses_ms),
    item,
    pause_ms)
{
    const auto make_policy = [](std::uint64_t revision)
    {
        std::vector<std::string> withdrawn;
        if (revision % 2 == 1)
        {
            withdrawn.emplace_back("kgl-nyr");
        }
        return test_policy(revision, withdrawn);
    };
    core.on_policy(at(0ms), make_policy(item.in_force));
    core.on_status(at(0ms), ready_status(1));
    const std::chrono::milliseconds resumed = 120ms + 1ms * pause_ms;
    core.on_tick(at(20ms));
    core.on_policy(at(resumed), make_policy(item.reply));
    const std::chrono::milliseconds later = resumed + 300ms;
    core.on_status(at(later), ready_status(2));
    core.on_message(at(later), entry, entry_hello{mark_at(item.stated), true});
    core.on_caller_packet(at(later), entry, opening_packet(test_flow(1)));

    BOOST_TEST(output.to_upstream == (item.is_admitted ? 1U : 0U));
}

BOOST_AUTO_TEST_SUITE_END()
