// The log lines alone must show why a request was refused, late or lost; the
// number of lines stays bounded under overload.

#include "log_story.hpp"
#include "virtual_flow_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace masticslip;
using namespace masticslip::standin;
using namespace std::chrono_literals;

namespace
{

/// The log lines of the given flows only.
std::vector<log_record> lines_of(
    const virtual_flow_fleet& fleet, const std::vector<flow_endpoints>& flows)
{
    log_story story;
    story.add("fleet", fleet.log());
    std::vector<log_record> result;
    for (const flow_endpoints& flow : flows)
    {
        const auto lines = story.flow_records(to_string(flow));
        result.insert(result.end(), lines.begin(), lines.end());
    }
    return result;
}

/// True if one line has all of the given fields.
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

BOOST_AUTO_TEST_CASE(explains_a_refusal_with_free_slots)
{
    fleet_shape shape = small_fleet();
    shape.cold_flows_per_second = 1;
    virtual_flow_fleet fleet(shape, 3);
    fleet.start_load(small_load(0.35), 8s);
    fleet.at(3'000ms, [&fleet] { fleet.lose_power(200ms); });
    fleet.run(12s);

    const auto lines = lines_of(fleet, fleet.callers().failed_flows());

    // Either at the wait limit or at once, as its turn would come too late.
    const bool names_cold_upstreams = std::any_of(
        lines.begin(), lines.end(),
        [](const log_record& line)
        {
            const bool is_refused_at_once =
                line.field("code") == "not_run_wait_too_long" &&
                line.field("detail").find("waited_for=not_run_upstream_cold") !=
                    std::string::npos;
            return line.field("event") == "flow_rejected" &&
                   (line.field("code") == "not_run_upstream_cold" ||
                    is_refused_at_once);
        });
    BOOST_TEST(names_cold_upstreams);
    BOOST_TEST(any_line(
        lines, {{"event", "flow_refused"}, {"cold", "1"}, {"slots", "5"}}));
}

BOOST_AUTO_TEST_CASE(explains_a_late_answer_of_a_cold_host)
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

BOOST_AUTO_TEST_CASE(explains_a_loss_by_a_host_restart)
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

/// Largest number of lines that one process wrote within one second of the
/// clock.
std::size_t busiest_second(const virtual_flow_fleet& fleet)
{
    std::map<std::string, std::size_t> lines;
    std::istringstream text(fleet.log());
    std::string line;
    std::size_t result = 0;
    while (std::getline(text, line))
    {
        // The process and the time, truncated to the second.
        const auto second = line.substr(0, line.find('.'));
        result = std::max(result, ++lines[second]);
    }
    return result;
}

// The usual load occupies 0.35 of the slots.
BOOST_AUTO_TEST_CASE(lines_stay_bounded_at_three_times_the_usual_load)
{
    virtual_flow_fleet fleet(small_fleet(), 4);
    fleet.start_load(small_load(3 * 0.35), 10s);
    fleet.at(4'000ms, [&fleet] { fleet.crash_host(0, 3'000ms, true); });
    fleet.run(12s);

    // The limit is 50 lines per one-second window, and a second of the clock
    // overlaps two windows. Lines about members, policies and suppressed lines
    // are exempt from it.
    constexpr std::size_t windows = 2U * 50;
    constexpr std::size_t members = 2U * 14;
    constexpr std::size_t bound = windows + members;
    BOOST_TEST(busiest_second(fleet) <= bound);
    BOOST_TEST(fleet.log().find("event=lines_left_out") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
