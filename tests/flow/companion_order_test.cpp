// Order of a companion's reports and identity of its answers: without them an
// entry takes a late report or answer for a new one and resets a held flow.

#include "companion_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

companion_flow_settings settings_of(std::uint64_t process_number)
{
    companion_flow_settings settings = settings_of_companion();
    settings.process_number = process_number;
    return settings;
}

struct order_fixture
{
    report_order hello(std::chrono::milliseconds now, report_order newest)
    {
        entry_hello message{mark_at(7), true};
        message.newest_report = newest;
        this->core.on_message(at(now), entry, message);
        return messages_of<companion_report>(this->output.sent).back().order;
    }

    recording_companion_output output;
    recording_event_sink events;
    companion_flow_core core{settings_of(1'000), output, events};
};

} // namespace

BOOST_AUTO_TEST_SUITE(companion_order)

BOOST_FIXTURE_TEST_CASE(each_report_has_a_higher_order, order_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    hello(10ms, {});
    core.on_status(at(20ms), ready_status(1));
    hello(30ms, {});
    core.on_stop(at(40ms));
    const auto reports = messages_of<companion_report>(output.sent);
    BOOST_REQUIRE(reports.size() >= 4U);
    for (std::size_t i = 1; i < reports.size(); ++i)
    {
        BOOST_TEST((reports[i - 1].order < reports[i].order));
    }
    BOOST_TEST(reports.front().order.process == 1'000U);
    BOOST_TEST(reports.back().order.process == 1'000U);
}

BOOST_FIXTURE_TEST_CASE(
    an_order_that_an_entry_has_accepted_from_this_process_changes_nothing,
    order_fixture)
{
    const report_order first = hello(0ms, {});
    const report_order second = hello(10ms, first);
    BOOST_TEST(second.process == first.process);
    BOOST_TEST((second > first));
}

// The clock was set back between two starts. Entries would ignore the reports
// of the new process forever.
BOOST_FIXTURE_TEST_CASE(
    a_process_whose_clock_was_set_back_continues_above_the_former_one,
    order_fixture)
{
    const report_order former{5'000, 70};
    const report_order own = hello(0ms, former);
    BOOST_TEST((own > former));
    BOOST_TEST((hello(10ms, former) > own));
}

// Two processes that started in the same microsecond of a clock that was set
// back.
BOOST_FIXTURE_TEST_CASE(
    a_process_with_the_number_of_the_former_one_continues_above_it,
    order_fixture)
{
    const report_order former{1'000, 70};
    BOOST_TEST((hello(0ms, former) > former));
}

BOOST_FIXTURE_TEST_CASE(an_answer_repeats_the_acknowledgement, order_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    core.on_status(at(0ms), ready_status(1));
    core.on_message(at(10ms), entry, owner_query{test_flow(1), 77});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers[0].acknowledged == 77U);
}

BOOST_AUTO_TEST_SUITE_END()
