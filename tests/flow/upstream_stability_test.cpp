// What counts as a loss of an upstream, how long its probation is, and how a
// companion admits new flows meanwhile.

#include "companion_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

/// What an upstream does in a timeline.
enum class step_kind : std::uint8_t
{
    start,      ///< First status of a new incarnation; flows were held.
    idle_start, ///< The same, without flows.
    drain,
    departure,
    silence,
    answer
};

struct step
{
    step_kind kind;
    std::chrono::milliseconds at;
};

/// Plays steps on the class alone.
struct timeline
{
    void play(const step& item)
    {
        switch (item.kind)
        {
        case step_kind::start:
        case step_kind::idle_start:
            this->started = item.at;
            this->send_status(item, false);
            break;
        case step_kind::drain:
            this->send_status(item, true);
            break;
        case step_kind::departure:
            this->stability.on_departure();
            break;
        case step_kind::silence:
            this->stability.on_silence(at(item.at));
            break;
        case step_kind::answer:
            this->stability.on_answer(at(item.at));
            break;
        }
    }

    void send_status(const step& item, bool is_draining)
    {
        upstream_status status;
        status.incarnation = {"i", this->started};
        status.is_draining = is_draining;
        this->stability.on_status(
            at(item.at), status, item.kind != step_kind::idle_start);
    }

    upstream_stability stability;
    std::chrono::milliseconds started{};
};

/// A timeline, and the probation after its last step.
struct timeline_case
{
    const char* name;
    std::vector<step> steps;
    std::uint32_t losses;
    /// Time after the last step at which the probation ends; zero: none.
    std::chrono::milliseconds probation;
};

std::ostream& operator<<(std::ostream& stream, const timeline_case& value)
{
    return stream << value.name;
}

using enum step_kind;

const std::vector<timeline_case> timeline_cases{
    {"the_first_incarnation_is_no_loss", {{start, 0ms}}, 0, 0ms},
    {"a_restart_is_a_loss", {{start, 0ms}, {start, 5s}}, 1, 1s},
    {"a_restart_after_a_departure_is_none",
     {{start, 0ms}, {departure, 4s}, {start, 5s}},
     0,
     0ms},
    {"a_restart_after_a_drain_is_none",
     {{start, 0ms}, {drain, 4s}, {start, 5s}},
     0,
     0ms},
    {"a_departure_covers_one_restart_only",
     {{start, 0ms}, {departure, 4s}, {start, 5s}, {start, 6s}},
     1,
     1s},
    {"a_restart_of_an_idle_upstream_is_none",
     {{start, 0ms}, {idle_start, 5s}},
     0,
     0ms},
    {"a_restart_without_flows_counts_after_a_loss",
     {{start, 0ms}, {start, 5s}, {idle_start, 7s}},
     2,
     2s},
    {"a_silence_is_a_loss_until_it_ends_and_after",
     {{start, 0ms}, {silence, 5s}, {answer, 6s}},
     1,
     1s},
    {"a_silence_counts_once",
     {{start, 0ms}, {silence, 5s}, {silence, 5'250ms}, {answer, 6s}},
     1,
     1s},
    {"a_silence_and_the_restart_that_ends_it_are_one_loss",
     {{start, 0ms}, {silence, 5s}, {start, 6s}},
     1,
     1s},
    {"a_silence_during_a_drain_is_none",
     {{start, 0ms}, {drain, 4s}, {silence, 5s}},
     0,
     0ms},
    {"a_second_loss_doubles_the_probation",
     {{start, 0ms}, {start, 5s}, {start, 14s}},
     2,
     2s},
    {"the_probation_does_not_exceed_its_limit",
     {{start, 0ms},
      {start, 1s},
      {start, 2s},
      {start, 3s},
      {start, 4s},
      {start, 5s},
      {start, 6s}},
     6,
     8s},
    {"a_later_loss_keeps_the_length",
     {{start, 0ms}, {start, 5s}, {start, 7s}, {start, 20s}},
     3,
     2s},
    {"the_history_is_discarded_after_a_time_without_a_loss",
     {{start, 0ms}, {start, 5s}, {start, 7s}, {start, 28s}},
     3,
     1s}};

/// Gives a companion ticks without anything else.
void tick_until(
    companion_flow_core& core,
    std::chrono::milliseconds from,
    std::chrono::milliseconds until)
{
    for (auto now = from; now < until; now += 250ms)
    {
        core.on_tick(at(now));
    }
}

/// Keeps the details of events that concern a probation.
struct detail_sink final : flow_event_sink
{
    void on_event(time_point, const flow_event& event) override
    {
        if (event.detail.starts_with("probation"))
        {
            this->details.emplace_back(event.detail);
        }
    }

    std::vector<std::string> details;
};

/// The upstream answers on a flow that was opened.
void answer_flow(
    companion_fixture& fixture,
    std::chrono::milliseconds now,
    std::uint16_t port = 1)
{
    flow_packet packet =
        data_packet(test_flow(port), upstream_sequence + 1, 1'101);
    packet.origin = packet_origin::upstream;
    fixture.core.on_upstream_packet(at(now), packet);
}

upstream_status restarted(int number)
{
    upstream_status status = ready_status(1);
    status.incarnation.started += number * 1'000ms;
    return status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_stability_rules)

BOOST_DATA_TEST_CASE(
    losses_set_the_length_of_the_probation,
    boost::unit_test::data::make(timeline_cases),
    item)
{
    timeline played;
    for (const step& value : item.steps)
    {
        played.play(value);
    }
    const upstream_stability& stability = played.stability;
    const auto last = item.steps.back().at;
    BOOST_TEST(stability.loss_count() == item.losses);
    if (item.probation.count() != 0)
    {
        BOOST_TEST(stability.is_on_probation(at(last)));
        BOOST_TEST(stability.is_on_probation(at(last + item.probation - 1ms)));
    }
    BOOST_TEST(!stability.is_on_probation(at(last + item.probation)));
}

BOOST_AUTO_TEST_CASE(a_silent_upstream_stays_on_probation_until_it_answers)
{
    upstream_stability stability;
    stability.on_silence(at(1s));
    BOOST_TEST(stability.is_on_probation(at(30s)));
    stability.on_answer(at(30s));
    BOOST_TEST(stability.is_on_probation(at(30'999ms)));
    BOOST_TEST(!stability.is_on_probation(at(31s)));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_alternates_each_second_stays_on_probation)
{
    // Up in even seconds, known by its first status after each return.
    upstream_stability stability;
    upstream_status status;
    for (int second = 0; second <= 20; second += 2)
    {
        status.incarnation = {"i", std::chrono::seconds(second)};
        stability.on_status(at(1s * second), status, second <= 2);
        if (second >= 2)
        {
            BOOST_TEST(stability.is_on_probation(at(1s * second)));
            BOOST_TEST(stability.is_on_probation(at(1s * second + 999ms)));
        }
    }
    BOOST_TEST(stability.is_on_probation(at(27'999ms)));
    BOOST_TEST(!stability.is_on_probation(at(28s)));
}

BOOST_FIXTURE_TEST_CASE(
    a_crashed_upstream_is_tried_with_one_flow_for_each_slot, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    answer_flow(*this, 20ms);
    tick_until(core, 250ms, 2s);
    core.on_status(at(2s), restarted(1));
    BOOST_TEST(core.load(at(2s)).on_probation);
    for (std::uint16_t i = 10; i < 30; ++i)
    {
        open(test_flow(i), at(2'010ms));
    }
    BOOST_TEST(core.load(at(2'010ms)).in_flight == 5U);
    BOOST_TEST(
        to_string(refusal()) ==
        std::string(to_string(result_code::not_run_overloaded)));
    // An answer within the limit of silence makes room for one flow.
    answer_flow(*this, 2'300ms, 10);
    BOOST_TEST(core.load(at(2'300ms)).in_flight == 4U);
    BOOST_TEST(
        to_string(core.load(at(2'300ms)).refusal) ==
        std::string(to_string(result_code::done)));
    BOOST_TEST(core.load(at(2'999ms)).on_probation);
    BOOST_TEST(!core.load(at(3s)).on_probation);
}

BOOST_AUTO_TEST_CASE(entries_are_told_of_the_start_and_end_of_a_probation)
{
    recording_companion_output output;
    detail_sink events;
    companion_flow_core core(settings_of_companion(), output, events);
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(1));
    core.on_message(at(0ms), entry, entry_hello{mark_at(7), true});
    core.on_caller_packet(at(10ms), entry, opening_packet(test_flow(1)));
    core.on_status(at(900ms), restarted(1));
    BOOST_TEST(
        messages_of<companion_report>(output.sent).back().load.on_probation);
    tick_until(core, 910ms, 2'300ms);
    BOOST_TEST(
        !messages_of<companion_report>(output.sent).back().load.on_probation);
    const std::vector<std::string> expected{
        "probation_ms=1000 after=restart", "probation_ended"};
    BOOST_TEST(events.details == expected, boost::test_tools::per_element());
}

/// What a companion sees of an upstream that has ended no flow.
struct no_loss_case
{
    const char* name;
    void (*play)(companion_fixture&);
};

std::ostream& operator<<(std::ostream& stream, const no_loss_case& value)
{
    return stream << value.name;
}

const std::vector<no_loss_case> no_loss_cases{
    {"idle_with_an_open_flow",
     [](companion_fixture& fixture)
     {
         fixture.open(test_flow(1), at(10ms));
         answer_flow(fixture, 20ms);
         tick_until(fixture.core, 50ms, 2'400ms);
     }},
    {"a_departure",
     [](companion_fixture& fixture)
     {
         fixture.open(test_flow(1), at(10ms));
         fixture.core.on_departure(at(1s), ready_status(1).incarnation);
         tick_until(fixture.core, 1s, 2'400ms);
         fixture.core.on_status(at(2'400ms), restarted(1));
     }},
    {"a_drain",
     [](companion_fixture& fixture)
     {
         fixture.open(test_flow(1), at(10ms));
         upstream_status status = ready_status(2);
         status.is_draining = true;
         fixture.core.on_status(at(200ms), status);
         tick_until(fixture.core, 200ms, 2'400ms);
         fixture.core.on_status(at(2'400ms), restarted(1));
     }},
    {"a_request_that_takes_ten_times_as_long_with_acknowledgements",
     [](companion_fixture& fixture)
     {
         fixture.open(test_flow(1), at(10ms));
         for (auto now = 200ms; now < 2s; now += 250ms)
         {
             flow_packet packet =
                 data_packet(test_flow(1), upstream_sequence + 1, 1'101);
             packet.origin = packet_origin::upstream;
             packet.payload_size = 0;
             fixture.core.on_upstream_packet(at(now), packet);
             fixture.core.on_tick(at(now));
         }
     }},
    {"a_suspension_of_the_companion",
     [](companion_fixture& fixture)
     {
         fixture.open(test_flow(1), at(10ms));
         fixture.core.on_tick(at(2s));
         answer_flow(fixture, 2'050ms);
         fixture.core.on_status(at(2'060ms), ready_status(2));
         tick_until(fixture.core, 2'100ms, 2'400ms);
     }},
    {"a_suspension_that_is_too_short_to_be_detected",
     [](companion_fixture& fixture)
     {
         fixture.open(test_flow(1), at(10ms));
         fixture.core.on_tick(at(20ms));
         fixture.core.on_tick(at(900ms));
         answer_flow(fixture, 905ms);
         fixture.core.on_status(at(906ms), ready_status(2));
         tick_until(fixture.core, 950ms, 2'400ms);
     }},
    {"openings_whose_callers_send_nothing", [](companion_fixture& fixture)
     {
         fixture.core.on_caller_packet(
             at(10ms), entry, opening_packet(test_flow(1)));
         fixture.core.on_upstream_packet(
             at(11ms), accepting_packet(test_flow(1), upstream_sequence));
         tick_until(fixture.core, 50ms, 2'400ms);
     }}};

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    an_upstream_that_ended_no_flow_is_not_on_probation,
    boost::unit_test::data::make(no_loss_cases),
    item)
{
    make_ready();
    item.play(*this);
    BOOST_TEST(!core.load(at(2'450ms)).on_probation);
}

BOOST_FIXTURE_TEST_CASE(
    a_request_that_is_not_answered_puts_the_upstream_on_probation,
    companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    tick_until(core, 50ms, 1s);
    BOOST_TEST(core.load(at(1s)).on_probation);
    answer_flow(*this, 1'010ms);
    core.on_tick(at(1'100ms));
    BOOST_TEST(core.load(at(2'050ms)).on_probation);
    BOOST_TEST(!core.load(at(2'150ms)).on_probation);
}

BOOST_FIXTURE_TEST_CASE(a_bounce_does_not_end_a_silence, companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    tick_until(core, 50ms, 1s);
    core.on_upstream_packet(
        at(1s), bounced(data_packet(test_flow(9), 1'101, 5'001)));
    tick_until(core, 1'010ms, 2'400ms);
    BOOST_TEST(core.load(at(2'400ms)).on_probation);
}

BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_knows_no_losses, companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(40));
    BOOST_TEST(!core.load(at(0ms)).on_probation);
}

BOOST_AUTO_TEST_SUITE_END()
