// Checks how old the evidence for the newest policy may become, and when a
// process has to renew it.

#include "masticslip/flow/policy_evidence.hpp"

#include "companion_fixture.hpp"
#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;
using namespace std::chrono_literals;

namespace
{

/// Evidence of time zero.
struct due_case
{
    std::chrono::milliseconds time_limit;
    std::uint32_t rank;
    std::chrono::milliseconds due;
};

std::ostream& operator<<(std::ostream& stream, const due_case& value)
{
    return stream << value.time_limit.count() << " ms, rank " << value.rank;
}

const std::vector<due_case> due_cases{
    {5'000ms, 0, 1'250ms}, {5'000ms, 1, 1'875ms}, {5'000ms, 2, 2'500ms},
    {5'000ms, 9, 2'500ms}, {3'000ms, 0, 750ms},   {3'000ms, 2, 1'500ms}};

} // namespace

BOOST_AUTO_TEST_SUITE(policy_evidence_age)

BOOST_DATA_TEST_CASE(
    a_check_is_due_within_half_of_the_time_limit,
    boost::unit_test::data::make(due_cases),
    item)
{
    policy_evidence evidence(item.time_limit);
    evidence.confirm(at(0ms));
    evidence.set_check_rank(item.rank);
    BOOST_TEST(!evidence.is_check_due(at(item.due - 1ms)));
    BOOST_TEST(evidence.is_check_due(at(item.due)));
}

BOOST_AUTO_TEST_CASE(a_check_is_due_without_evidence)
{
    policy_evidence evidence(5s);
    BOOST_TEST(evidence.is_check_due(at(0ms)));
    BOOST_TEST((evidence.age(at(10ms)) == duration::max()));
}

BOOST_AUTO_TEST_CASE(older_evidence_is_ignored)
{
    policy_evidence evidence(5s);
    evidence.confirm(at(100ms));
    evidence.confirm(at(50ms));
    evidence.confirm_by_peer(at(200ms), 150ms);
    BOOST_TEST((evidence.age(at(300ms)) == duration(200ms)));
}

BOOST_AUTO_TEST_CASE(a_peer_without_evidence_gives_none)
{
    policy_evidence evidence(5s);
    evidence.confirm_by_peer(at(200ms), duration::max());
    BOOST_TEST((evidence.age(at(300ms)) == duration::max()));
}

BOOST_AUTO_TEST_CASE(staleness_is_reported_once_and_taken_back)
{
    policy_evidence evidence(4s);
    evidence.confirm(at(0ms));
    BOOST_TEST(!evidence.observe_staleness(at(3'000ms)).has_value());
    BOOST_TEST(
        (evidence.observe_staleness(at(3'001ms)) ==
         flow_event_kind::policy_unconfirmed));
    BOOST_TEST(!evidence.observe_staleness(at(3'100ms)).has_value());
    evidence.confirm_by_peer(at(3'200ms), 100ms);
    BOOST_TEST(
        (evidence.observe_staleness(at(3'200ms)) ==
         flow_event_kind::policy_confirmed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(policy_evidence_exchange)

BOOST_FIXTURE_TEST_CASE(
    an_entry_takes_over_the_evidence_of_a_companion, entry_fixture)
{
    make_ready(1);
    companion_report report = ready_report(1);
    report.policy = core.current_policy().mark();
    report.policy_evidence_age = 300ms;
    core.on_message(at(1'000ms), companion(1), report);
    BOOST_TEST((core.status_of_policy(at(1'100ms)).evidence_age == 400ms));
    BOOST_TEST(!core.is_policy_check_due(at(1'100ms)));
}

// The evidence is about a policy that the receiver does not have.
BOOST_FIXTURE_TEST_CASE(
    an_entry_takes_no_evidence_with_a_newer_policy, entry_fixture)
{
    make_ready(1);
    companion_report report = ready_report(1);
    report.policy = mark_at(9);
    report.policy_evidence_age = 0ms;
    core.on_message(at(1'000ms), companion(1), report);
    BOOST_TEST(output.fetches.size() == 1U);
    BOOST_TEST(
        (core.status_of_policy(at(1'000ms)).evidence_age == duration::max()));
}

// A report that has waited in the socket is older than it says.
BOOST_FIXTURE_TEST_CASE(
    an_entry_takes_no_evidence_from_before_the_end_of_a_freeze, entry_fixture)
{
    make_ready(1);
    core.on_policy_confirmed(at(0ms), at(0ms));
    core.on_tick(at(100ms));
    companion_report report = ready_report(1);
    report.policy = core.current_policy().mark();
    report.policy_evidence_age = 0ms;
    core.on_message(at(4'000ms), companion(1), report);
    BOOST_TEST((core.status_of_policy(at(4'000ms)).evidence_age == 4'000ms));
    BOOST_TEST(core.is_policy_check_due(at(4'000ms)));
    core.on_message(at(4'100ms), companion(1), report);
    BOOST_TEST((core.status_of_policy(at(4'100ms)).evidence_age == 0ms));
}

BOOST_FIXTURE_TEST_CASE(
    an_entry_passes_on_what_the_store_has_confirmed, entry_fixture)
{
    make_ready(3);
    core.on_policy_confirmed(at(1'000ms), at(990ms));
    const auto hellos = messages_of<entry_hello>(output.sent);
    BOOST_REQUIRE(hellos.size() == 3U);
    BOOST_TEST((hellos[0].policy_evidence_age == 10ms));
    core.on_policy_confirmed(at(1'100ms), at(1'090ms));
    BOOST_TEST(messages_of<entry_hello>(output.sent).size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_passes_on_the_evidence_of_an_entry, companion_fixture)
{
    make_ready();
    entry_hello hello;
    hello.policy = core.current_policy().mark();
    hello.policy_evidence_age = 200ms;
    core.on_message(at(1'000ms), entry, hello);
    hello.policy_evidence_age = duration::max();
    core.on_message(at(1'300ms), {entry.value + 1}, hello);
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST((reports.back().policy_evidence_age == 500ms));
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_takes_no_evidence_with_a_newer_policy, companion_fixture)
{
    make_ready();
    entry_hello hello;
    hello.policy = mark_at(9);
    hello.policy_evidence_age = 0ms;
    core.on_message(at(1'000ms), entry, hello);
    BOOST_TEST(
        (core.status_of_policy(at(1'000ms)).evidence_age == duration::max()));
}

BOOST_FIXTURE_TEST_CASE(
    each_entry_is_told_how_many_check_before_it, companion_fixture)
{
    make_ready();
    std::vector<std::uint32_t> ranks;
    for (const std::uint64_t number : {1U, 2U, 3U, 4U})
    {
        core.on_message(
            at(1'000ms), {entry.value + number}, entry_hello{mark_at(7)});
    }
    for (const std::uint64_t number : {1U, 2U, 3U, 4U})
    {
        output.sent.clear();
        core.on_message(
            at(1'100ms), {entry.value + number}, entry_hello{mark_at(7)});
        ranks.push_back(
            messages_of<companion_report>(output.sent).back().entry_rank);
    }
    BOOST_TEST((ranks == std::vector<std::uint32_t>{0, 1, 2, 2}));
}

BOOST_FIXTURE_TEST_CASE(
    a_policy_in_force_is_logged_with_version_and_source, companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7), entry);
    BOOST_TEST((core.status_of_policy(at(40ms)).in_force_for == 40ms));
    BOOST_TEST((core.status_of_policy(at(40ms)).source == entry));
    BOOST_TEST(
        describe_policy(
            core.current_policy(), core.status_of_policy(at(40ms))) ==
        "version=7 source=" + to_string(entry.address()) + " evidence_ms=none");
}

BOOST_AUTO_TEST_SUITE_END()
