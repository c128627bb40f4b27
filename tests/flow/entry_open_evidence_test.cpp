// Cases in which missing or outdated information still counts as evidence that
// a flow is gone. They fail and are listed in KNOWN-RED.txt.

#include "entry_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(entry_open_evidence)

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

BOOST_AUTO_TEST_SUITE_END()
