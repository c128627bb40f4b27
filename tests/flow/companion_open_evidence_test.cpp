// Cases in which a companion answers without evidence, or cannot tell for
// longer than necessary. They fail and are listed in KNOWN-RED.txt.

#include "companion_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(companion_open_evidence)

// Flows without a packet for the idle limit are removed everywhere, so what a
// restarted companion has not seen for as long is no open flow.
BOOST_FIXTURE_TEST_CASE(
    a_restarted_companion_can_tell_after_the_idle_limit, companion_fixture)
{
    core.on_policy(at(0ms), test_policy(7));
    for (std::uint64_t second = 0; second <= 3'600; ++second)
    {
        const auto now = std::chrono::seconds(second);
        core.on_status(at(now), ready_status(50 + second));
        core.on_tick(at(now));
    }
    core.on_message(at(3'600s), entry, owner_query{test_flow(1), 1});
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(!answers.empty());
    BOOST_TEST((answers.back().answer != ownership::uncertain));
}

BOOST_AUTO_TEST_SUITE_END()
