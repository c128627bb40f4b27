// Statuses and departures of other senders than the companion's upstream: they
// change nothing that the companion believes of it.

#include "companion_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

/// How a status differs from one of the upstream.
struct foreign_field
{
    const char* name;
    void (*change)(upstream_status&);
};

std::ostream& operator<<(std::ostream& stream, const foreign_field& value)
{
    return stream << value.name;
}

const std::vector<foreign_field> foreign_fields{
    {"service_that_is_not_named",
     [](upstream_status& status)
     {
         status.service = "named-nowhere";
     }},
    {"another_service",
     [](upstream_status& status)
     {
         status.service = "papers";
     }},
    {"empty_service",
     [](upstream_status& status)
     {
         status.service.clear();
     }},
    {"another_machine",
     [](upstream_status& status)
     {
         status.address.address += 1;
     }},
    {"another_port",
     [](upstream_status& status)
     {
         status.address.port += 1;
     }},
    {"another_failure_domain", [](upstream_status& status)
     {
         status.failure_domain = "kgl-gas";
     }}};

/// What the sender says besides.
struct foreign_claim
{
    const char* name;
    upstream_incarnation incarnation;
    std::uint64_t sequence;
    bool is_draining;
    std::chrono::milliseconds cold_for;
};

std::ostream& operator<<(std::ostream& stream, const foreign_claim& value)
{
    return stream << value.name;
}

const std::vector<foreign_claim> foreign_claims{
    {"later_start", {"x-1", 2'000'000ms}, 1, false, 0ms},
    {"later_start_under_the_same_id", {"i-1", 2'000'000ms}, 1, false, 0ms},
    {"same_incarnation", {"i-1", 1'000'000ms}, 900, false, 0ms},
    {"same_incarnation_drains", {"i-1", 1'000'000ms}, 900, true, 0ms},
    {"later_start_drains", {"x-1", 2'000'000ms}, 1, true, 0ms},
    {"later_start_is_cold", {"x-1", 2'000'000ms}, 1, false, 9'000ms}};

/// A departure of another sender before any status of the upstream.
struct early_departure
{
    const char* name;
    upstream_incarnation incarnation;
};

std::ostream& operator<<(std::ostream& stream, const early_departure& value)
{
    return stream << value.name;
}

const std::vector<early_departure> foreign_departures{
    {"later_start", {"x-1", 2'000'000ms}},
    {"earlier_start", {"x-1", 500'000ms}},
    {"no_start", {"x-1", 0ms}}};

/// All that the companion believes of its upstream, as text.
std::string belief_of(companion_flow_core& core, time_point now)
{
    const upstream_monitor& monitor = core.upstream();
    const upstream_load load = core.load(now);
    const upstream_status* status = monitor.status();
    std::string text =
        status == nullptr
            ? "none"
            : status->incarnation.id + " " +
                  std::to_string(status->incarnation.started.count()) + " " +
                  std::to_string(status->sequence);
    text += " status_at=" +
            std::to_string(monitor.last_status_at().time_since_epoch().count());
    text +=
        " life_at=" +
        std::to_string(monitor.last_sign_of_life().time_since_epoch().count());
    text += " observed=" + std::to_string(monitor.is_observed_since_start());
    text += " departed=" + std::to_string(monitor.has_departed());
    text += " refusal=" + std::string(to_string(load.refusal));
    text += " slots=" + std::to_string(load.concurrency);
    text += " limit=" + std::to_string(load.in_flight_limit);
    text += " cold=" + std::to_string(load.is_cold);
    text += " probation=" + std::to_string(load.on_probation);
    return text;
}

upstream_status
foreign_status(const foreign_field& field, const foreign_claim& claim)
{
    upstream_status result = ready_status(claim.sequence);
    result.incarnation = claim.incarnation;
    result.is_draining = claim.is_draining;
    result.cold_for = claim.cold_for;
    result.concurrency = 50;
    field.change(result);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(companion_foreign_status)

// Guards against openings at an upstream that has said that it leaves.
BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_status_of_another_sender_does_not_hide_that_the_upstream_drains,
    boost::unit_test::data::make(foreign_fields) *
        boost::unit_test::data::make(foreign_claims),
    field,
    claim)
{
    make_ready();
    open(test_flow(1), at(10ms));
    const std::string before = belief_of(core, at(20ms));

    BOOST_TEST(
        (core.on_status(at(20ms), foreign_status(field, claim)) ==
         status_outcome::foreign));

    BOOST_TEST(belief_of(core, at(20ms)) == before);
    BOOST_TEST(events.count(flow_event_kind::status_foreign) == 1U);
    upstream_status draining = ready_status(2);
    draining.is_draining = true;
    BOOST_TEST(
        (core.on_status(at(30ms), draining) == status_outcome::accepted));
    const auto sent = output.to_upstream;
    core.on_caller_packet(at(40ms), entry, opening_packet(test_flow(2)));
    BOOST_TEST(output.to_upstream == sent);
    BOOST_TEST((refusal() == result_code::not_run_upstream_leaving));
}

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_status_of_another_sender_is_no_status_of_an_upstream_that_has_sent_none,
    boost::unit_test::data::make(foreign_fields) *
        boost::unit_test::data::make(foreign_claims),
    field,
    claim)
{
    core.on_policy(at(0ms), test_policy(7));
    const std::string before = belief_of(core, at(20ms));

    core.on_status(at(20ms), foreign_status(field, claim));

    BOOST_TEST(belief_of(core, at(20ms)) == before);
    core.on_caller_packet(at(30ms), entry, opening_packet(test_flow(1)));
    BOOST_TEST(output.to_upstream == 0U);
    // The upstream runs for longer than this companion.
    BOOST_TEST(
        (core.on_status(at(900ms), ready_status(40)) ==
         status_outcome::accepted));
    BOOST_TEST(!core.upstream().is_observed_since_start());
    BOOST_TEST(core.upstream().status()->concurrency == 5U);
}

// Guards against an upstream that gets no flows because of a departure that is
// not its own.
BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_departure_of_another_sender_does_not_hide_the_upstream,
    boost::unit_test::data::make(foreign_departures),
    item)
{
    core.on_policy(at(0ms), test_policy(7));
    for (auto now = 0ms; now < 50'000ms; now += 250ms)
    {
        core.on_tick(at(now));
    }
    core.on_departure(at(50'000ms), item.incarnation);

    BOOST_TEST(
        (core.on_status(at(50'010ms), ready_status(40)) ==
         status_outcome::accepted));
    BOOST_TEST(!core.upstream().is_observed_since_start());
    BOOST_TEST((core.load(at(50'020ms)).refusal == result_code::done));
    BOOST_TEST(!core.on_departure(at(50'030ms), item.incarnation));
    BOOST_TEST((core.load(at(50'040ms)).refusal == result_code::done));
}

BOOST_AUTO_TEST_CASE(departures_of_other_senders_are_remembered_up_to_a_limit)
{
    upstream_monitor monitor({1'000ms});
    monitor.on_start(at(0ms));
    for (int i = 0; i < 100; ++i)
    {
        monitor.on_departure({"x-" + std::to_string(i), 2'000'000ms});
    }
    BOOST_TEST(
        (monitor.on_status(ready_status(1), at(10ms)) ==
         status_outcome::accepted));
    BOOST_TEST((monitor.refusal(at(20ms)) == result_code::done));
}

struct later_start
{
    const char* name;
    upstream_incarnation incarnation;
};

std::ostream& operator<<(std::ostream& stream, const later_start& value)
{
    return stream << value.name;
}

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    an_upstream_that_starts_again_is_not_refused,
    boost::unit_test::data::make(std::vector<later_start>{
        {"same_id", {"i-1", 1'000'001ms}}, {"other_id", {"i-2", 1'000'001ms}}}),
    item)
{
    make_ready();
    upstream_status status = ready_status(1);
    status.incarnation = item.incarnation;
    BOOST_TEST((core.on_status(at(500ms), status) == status_outcome::accepted));
    BOOST_TEST(events.count(flow_event_kind::status_foreign) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
