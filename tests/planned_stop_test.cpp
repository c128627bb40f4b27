// Planned stops on the CoAP path at three times the usual load: no accepted
// request is left without a known outcome, and none that was refused has run.

#include "support/virtual_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

/// What is stopped within one second, just after a request.
struct stop_case
{
    const char* name;
    bool stops_companion;
    bool stops_entry;
    bool stops_upstream;
};

std::ostream& operator<<(std::ostream& out, const stop_case& item)
{
    return out << item.name;
}

const stop_case stop_cases[] = {
    {"a_companion", true, false, false},
    {"an_entry", false, true, false},
    {"an_upstream", false, false, true},
    {"a_companion_and_its_upstream", true, false, true},
    {"all_roles", true, true, true}};

/// Interval of requests: four upstreams of five slots serve one in 1 ms.
constexpr duration interval = 950us;

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

BOOST_DATA_TEST_CASE(
    no_accepted_request_is_cut_and_no_refused_one_has_run,
    data::make(stop_cases) * data::xrange(3),
    item,
    seed)
{
    constexpr std::size_t callers = 40;
    virtual_options options;
    options.entries = 3;
    options.companions = 4;
    options.callers = callers;
    options.seed = static_cast<std::uint64_t>(seed) + 700;
    virtual_fleet fleet(options);
    fleet.run_for(3s);
    const auto post_for = [&](duration span)
    {
        for (duration spent{}; spent < span; spent += interval)
        {
            fleet.post(fleet.requests().size() % callers);
            fleet.run_for(interval);
        }
    };
    post_for(1s);
    if (item.stops_companion)
    {
        fleet.drain_companion(0);
    }
    if (item.stops_entry)
    {
        fleet.entry(0)->start_drain(fleet.now());
    }
    post_for(500ms);
    fleet.upstream(0).draining = item.stops_upstream;
    post_for(1'500ms);
    if (item.stops_companion)
    {
        BOOST_TEST(fleet.companion(0)->is_drained(fleet.now()));
        fleet.kill_companion(0);
    }
    if (item.stops_entry)
    {
        fleet.kill_entry(0);
        fleet.start_entry(0);
    }
    fleet.run_for(60s);

    BOOST_TEST_MESSAGE(
        item << ", seed " << seed << ": done "
             << fleet.count(request_outcome::done) << " not_run "
             << fleet.count(request_outcome::not_run) << " unknown "
             << fleet.count(request_outcome::unknown) << " no_answer "
             << fleet.count(request_outcome::no_answer));
    BOOST_TEST(fleet.count(request_outcome::done) > 1'000U);
    BOOST_TEST(fleet.count(request_outcome::unknown) == 0U);
    BOOST_TEST(fleet.count(request_outcome::no_answer) == 0U);
    BOOST_TEST(fleet.count(request_outcome::pending) == 0U);
    BOOST_TEST(fleet.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
