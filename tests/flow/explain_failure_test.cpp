// Three kinds of failed request, each explained from the log lines alone.

#include "log_story.hpp"
#include "virtual_flow_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

/// Lines about the flows, without those of others.
std::vector<log_record>
lines_of(const virtual_flow_fleet& fleet, const std::vector<flow_ends>& flows)
{
    log_story story;
    story.add("fleet", fleet.log());
    std::vector<log_record> result;
    for (const flow_ends& flow : flows)
    {
        const auto lines = story.of_flow(to_string(flow));
        result.insert(result.end(), lines.begin(), lines.end());
    }
    return result;
}

bool any_line(
    const std::vector<log_record>& lines,
    const std::map<std::string, std::string>& fields)
{
    return std::any_of(
        lines.begin(), lines.end(),
        [&fields](const log_record& line)
        {
            return std::all_of(
                fields.begin(), fields.end(),
                [&line](const auto& item)
                { return line.field(item.first) == item.second; });
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(explain_failure)

BOOST_AUTO_TEST_CASE(refused_although_slots_were_free)
{
    fleet_shape shape = small_fleet();
    shape.cold_flows_per_second = 1;
    virtual_flow_fleet fleet(shape, 3);
    fleet.start_load(small_load(0.35), 8s);
    fleet.at(3'000ms, [&fleet] { fleet.lose_power(200ms); });
    fleet.run(12s);

    const auto lines = lines_of(fleet, fleet.callers().failed_flows());

    BOOST_TEST(any_line(
        lines,
        {{"event", "flow_rejected"}, {"code", "not_run_upstream_cold"}}));
    BOOST_TEST(any_line(
        lines, {{"event", "flow_refused"}, {"cold", "1"}, {"slots", "5"}}));
}

BOOST_AUTO_TEST_CASE(late_through_a_cold_host)
{
    fleet_shape shape = small_fleet();
    shape.host.cold_factor = 12;
    virtual_flow_fleet fleet(shape, 3);
    fleet.start_load(small_load(0.35), 10s);
    fleet.at(3'000ms, [&fleet] { fleet.crash_host(0, 1'000ms); });
    fleet.run(12s);
    BOOST_REQUIRE(!fleet.callers().late_flows().empty());

    const auto lines = lines_of(fleet, fleet.callers().late_flows());

    BOOST_TEST(any_line(lines, {{"event", "flow_opened"}, {"cold", "1"}}));
}

BOOST_AUTO_TEST_CASE(lost_when_its_host_restarted)
{
    virtual_flow_fleet fleet(small_fleet(), 3);
    fleet.start_load(small_load(0.6), 10s);
    for (std::size_t i = 0; i < 7; ++i)
    {
        fleet.at(
            3'000ms + i * 700ms, [&fleet, i] { fleet.crash_host(i, 100ms); });
    }
    fleet.run(12s);
    BOOST_REQUIRE(!fleet.callers().failed_flows().empty());

    log_story story;
    story.add("fleet", fleet.log());
    const auto lines = lines_of(fleet, fleet.callers().failed_flows());

    const auto reset = std::find_if(
        lines.begin(), lines.end(),
        [](const log_record& line)
        { return line.field("event") == "flow_reset"; });
    BOOST_REQUIRE((reset != lines.end()));
    BOOST_TEST(reset->field("code") == "unknown_flow_lost");
    BOOST_TEST(reset->process.starts_with("side-"), reset->process);
    BOOST_TEST(fleet.log().find("event=upstream_changed") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
