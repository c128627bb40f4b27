// Guarantees of the requirements, tested with real processes: kills, stops,
// freezes, store outages and concurrent operators. Each case tests one
// guarantee.

#define BOOST_TEST_MODULE promise
#include "fleet/local_fleet.hpp"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <thread>

namespace
{

using namespace masticslip;
using namespace masticslip::standins;
using namespace std::chrono_literals;
namespace json = boost::json;

/// Time limit for a change to take effect and for a draining upstream to become
/// idle.
constexpr std::chrono::milliseconds convergence_limit = 2s;

std::string program_folder()
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    return std::filesystem::absolute(suite.argv[0]).parent_path().string();
}

/// A small deployment that starts quickly.
fleet_shape small_shape(std::size_t upstreams)
{
    fleet_shape shape;
    shape.failure_domains = {"kgl-nyr", "kgl-gas", "kgl-kic"};
    shape.services = {{"meetups", 5683, upstreams}, {"papers", 5684, 2}};
    shape.upstream_arguments = {"--cold-ms", "300",         "--service-time-ms",
                                "10",        "--notify-ms", "300"};
    return shape;
}

struct running_fleet
{
    explicit running_fleet(fleet_shape shape)
        : fleet(std::move(shape), program_folder())
    {
        BOOST_REQUIRE(this->fleet.start());
    }

    local_fleet fleet;
};

/// Returns -1 if the key is missing.
std::int64_t read_integer(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value == nullptr ? -1 : value->to_number<std::int64_t>();
}

std::int64_t outcome_count(const json::object& summary, std::string_view name)
{
    const auto* value = summary.at("outcomes").as_object().if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

const json::object& watch_of(const json::object& summary)
{
    return summary.at("watch").as_object();
}

/// Number of executions by request id, from the upstreams' log.
std::map<std::string, int> read_executions(const local_fleet& fleet)
{
    std::map<std::string, int> result;
    std::ifstream file(fleet.execution_log());
    std::string epoch;
    std::string resource;
    std::string id;
    std::string rest;
    while (file >> epoch >> resource >> id && std::getline(file, rest))
    {
        ++result[id];
    }
    return result;
}

struct reported_outcome
{
    std::string id;
    std::string outcome;
};

std::vector<reported_outcome> read_outcomes(const std::string& path)
{
    std::vector<reported_outcome> result;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line))
    {
        const std::size_t first = line.find(' ');
        const std::size_t second = line.find(' ', first + 1);
        result.push_back(
            {line.substr(0, first),
             line.substr(first + 1, second - first - 1)});
    }
    return result;
}

/// Violations of at-most-once execution and of reported outcomes, one line
/// each.
std::vector<std::string>
find_violations(const local_fleet& fleet, const std::string& outcomes)
{
    const auto executions = read_executions(fleet);
    std::vector<std::string> result;
    for (const auto& [id, count] : executions)
    {
        if (count > 1)
        {
            result.push_back(
                id + " was executed " + std::to_string(count) + " times");
        }
    }
    for (const auto& reported : read_outcomes(outcomes))
    {
        const bool ran = executions.contains(reported.id);
        if (reported.outcome == "not_run" && ran)
        {
            result.push_back(
                reported.id + " was reported as not run, but it was executed");
        }
        if (reported.outcome == "done" && !ran)
        {
            result.push_back(
                reported.id + " was reported as done, but it was not executed");
        }
    }
    return result;
}

void require_no_violation(const local_fleet& fleet, const std::string& outcomes)
{
    const auto violations = find_violations(fleet, outcomes);
    BOOST_TEST(
        violations.empty(), violations.size()
                                << " violations: "
                                << (violations.empty() ? "" : violations[0]));
}

/// Index of the companion that holds the most watches.
std::size_t busiest_companion(local_fleet& fleet)
{
    std::size_t best = 0;
    std::int64_t highest = -1;
    for (std::size_t i = 0; i < fleet.upstreams().size(); ++i)
    {
        const auto watches = read_integer(fleet.companion_status(i), "watches");
        if (watches > highest)
        {
            highest = watches;
            best = i;
        }
    }
    return best;
}

std::string process_name(const char* kind, std::size_t index)
{
    return std::string(kind) + "-" + std::to_string(index);
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise)

BOOST_AUTO_TEST_CASE(board_watch_survives)
{
    running_fleet running(small_shape(5));
    local_fleet& fleet = running.fleet;
    auto callers = fleet.start_caller(
        "meetups",
        {"--work", "watch", "--callers", "20", "--duration-ms", "18000",
         "--patience-ms", "9000", "--ack-timeout-ms", "500"});
    std::this_thread::sleep_for(4s);

    // One entry is killed, one frozen and one stopped; the killed and the
    // stopped one are restarted.
    fleet.signal_and_wait("entry-0", SIGKILL);
    fleet.start_entry(0);
    fleet.signal("entry-1", SIGSTOP);
    std::this_thread::sleep_for(2s);
    fleet.signal("entry-1", SIGCONT);
    fleet.signal_and_wait("entry-2", SIGTERM);
    fleet.start_entry(2);
    // The preset changes, and the busiest companion stops gracefully.
    const auto used =
        fleet.run_cli({"preset", "use", "peak", "--reason", "test"});
    BOOST_TEST(used.exit_code == 0, used.errors);
    const std::size_t stopping = busiest_companion(fleet);
    fleet.signal(process_name("companion", stopping), SIGTERM);
    BOOST_TEST(
        fleet.exited_successfully(process_name("companion", stopping), 10s));

    const json::object summary = fleet.wait_for_summary(*callers);
    BOOST_TEST(read_integer(watch_of(summary), "breaks") == 0);
    BOOST_TEST(read_integer(watch_of(summary), "notifications") > 20 * 18);
}

BOOST_AUTO_TEST_CASE(service_isolation)
{
    running_fleet running(small_shape(3));
    local_fleet& fleet = running.fleet;
    auto callers = fleet.start_caller(
        "meetups", {"--work", "signup", "--callers", "10", "--requests", "400",
                    "--duration-ms", "9000", "--pause-ms", "20",
                    "--ack-timeout-ms", "300"});
    std::this_thread::sleep_for(2s);

    // An upstream of the service papers takes over the address of upstream 0.
    fleet.signal_and_wait("upstream-0", SIGKILL);
    fleet.start_upstream(0, "papers");
    std::this_thread::sleep_for(2s);
    const auto packets = read_integer(fleet.upstream_stats(0), "packets");
    std::this_thread::sleep_for(2s);

    BOOST_TEST(read_integer(fleet.upstream_stats(0), "packets") == packets);
    BOOST_TEST(packets == 0);
    fleet.wait_for_summary(*callers);
}

BOOST_AUTO_TEST_CASE(cold_start_bound)
{
    fleet_shape shape = small_shape(3);
    shape.upstream_arguments = {"--cold-ms", "2000", "--service-time-ms", "10"};
    running_fleet running(shape);
    local_fleet& fleet = running.fleet;
    auto callers = fleet.start_caller(
        "meetups", {"--work", "signup", "--callers", "40", "--requests", "4000",
                    "--duration-ms", "12000", "--pause-ms", "5",
                    "--ack-timeout-ms", "500"});
    std::this_thread::sleep_for(4s);

    // One upstream restarts cold; another becomes cold without notice.
    fleet.signal_and_wait("upstream-0", SIGKILL);
    fleet.start_upstream(0);
    fleet.control_upstream(1, "cold");

    const json::object summary = fleet.wait_for_summary(*callers);
    for (std::size_t i = 0; i < 3; ++i)
    {
        const json::object stats = fleet.upstream_stats(i);
        BOOST_TEST(read_integer(stats, "collapses") == 0, "upstream " << i);
    }
    BOOST_TEST(outcome_count(summary, "done") > 100);
}

BOOST_AUTO_TEST_CASE(withdrawn_domain_silent)
{
    running_fleet running(small_shape(6));
    local_fleet& fleet = running.fleet;
    auto callers = fleet.start_caller(
        "meetups", {"--work", "mixed", "--callers", "20", "--requests", "400",
                    "--duration-ms", "12000", "--pause-ms", "20",
                    "--ack-timeout-ms", "500"});
    std::this_thread::sleep_for(2s);
    // A frozen entry does not learn of the withdrawal until it is resumed.
    fleet.signal("entry-1", SIGSTOP);
    const auto out =
        fleet.run_cli({"domain", "out", "kgl-gas", "--reason", "test"});
    BOOST_TEST(out.exit_code == 0, out.errors);
    std::this_thread::sleep_for(convergence_limit);

    std::map<std::size_t, std::int64_t> packets;
    for (std::size_t i = 0; i < fleet.upstreams().size(); ++i)
    {
        if (fleet.upstreams()[i].failure_domain == "kgl-gas")
        {
            packets[i] = read_integer(fleet.upstream_stats(i), "packets");
        }
    }
    fleet.signal("entry-1", SIGCONT);
    fleet.wait_for_summary(*callers);

    BOOST_TEST(packets.size() == 3U);
    for (const auto& [index, count] : packets)
    {
        BOOST_TEST(
            read_integer(fleet.upstream_stats(index), "packets") == count,
            "upstream " << index);
        // -1 means that the upstream never received a packet.
        const auto last = read_integer(
            fleet.companion_status(index), "last_upstream_packet_ms_ago");
        BOOST_TEST((last == -1 || last > 7000), "last packet " << last);
    }
}

BOOST_AUTO_TEST_CASE(whole_answer)
{
    running_fleet running(small_shape(4));
    local_fleet& fleet = running.fleet;
    auto callers = fleet.start_caller(
        "meetups", {"--work", "document", "--callers", "10", "--requests", "60",
                    "--duration-ms", "20000", "--pause-ms", "50",
                    "--ack-timeout-ms", "400"});
    std::this_thread::sleep_for(2s);
    fleet.signal_and_wait("entry-0", SIGKILL);
    fleet.start_entry(0);
    fleet.signal("companion-1", SIGTERM);
    std::this_thread::sleep_for(1s);
    fleet.signal("entry-2", SIGSTOP);
    std::this_thread::sleep_for(1s);
    fleet.signal("entry-2", SIGCONT);

    const json::object summary = fleet.wait_for_summary(*callers);
    BOOST_TEST(outcome_count(summary, "unknown") == 0);
    BOOST_TEST(outcome_count(summary, "no_answer") == 0);
    BOOST_TEST(outcome_count(summary, "done") > 500);
}

BOOST_AUTO_TEST_CASE(not_run_is_true)
{
    // Far more callers than slots: most requests are refused.
    fleet_shape shape = small_shape(3);
    shape.upstream_arguments = {"--cold-ms", "300",     "--service-time-ms",
                                "40",        "--slots", "2"};
    running_fleet running(shape);
    local_fleet& fleet = running.fleet;
    const std::string outcomes = fleet.work_folder() + "/outcomes";
    auto callers = fleet.start_caller(
        "meetups", {"--work", "signup", "--callers", "80", "--requests", "40",
                    "--duration-ms", "9000", "--ack-timeout-ms", "300",
                    "--result-log", outcomes});
    std::this_thread::sleep_for(3s);
    fleet.signal_and_wait("companion-0", SIGKILL);
    fleet.start_companion(0);
    std::this_thread::sleep_for(1s);
    fleet.signal_and_wait("upstream-1", SIGKILL);
    fleet.start_upstream(1);

    const json::object summary = fleet.wait_for_summary(*callers);
    BOOST_TEST(outcome_count(summary, "not_run") > 100);
    require_no_violation(fleet, outcomes);
}

BOOST_AUTO_TEST_CASE(at_most_once)
{
    running_fleet running(small_shape(5));
    local_fleet& fleet = running.fleet;
    const std::string outcomes = fleet.work_folder() + "/outcomes";
    auto callers = fleet.start_caller(
        "meetups", {"--work", "signup", "--callers", "60", "--requests", "200",
                    "--duration-ms", "14000", "--pause-ms", "10",
                    "--ack-timeout-ms", "200", "--result-log", outcomes});
    std::this_thread::sleep_for(2s);
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.signal_and_wait(process_name("companion", i), SIGKILL);
        fleet.start_companion(i);
        fleet.signal(process_name("companion", i + 2), SIGSTOP);
        std::this_thread::sleep_for(1500ms);
        fleet.signal(process_name("companion", i + 2), SIGCONT);
        fleet.signal_and_wait(process_name("upstream", i + 1), SIGKILL);
        fleet.start_upstream(i + 1);
        fleet.signal_and_wait(process_name("entry", i), SIGKILL);
        fleet.start_entry(i);
        std::this_thread::sleep_for(1s);
    }

    const json::object summary = fleet.wait_for_summary(*callers);
    BOOST_TEST_MESSAGE(json::serialize(summary));
    BOOST_TEST(outcome_count(summary, "done") > 1000);
    require_no_violation(fleet, outcomes);
}

BOOST_AUTO_TEST_CASE(leaving_gets_no_new_work)
{
    running_fleet running(small_shape(4));
    local_fleet& fleet = running.fleet;
    auto callers = fleet.start_caller(
        "meetups", {"--work", "signup", "--callers", "20", "--requests", "900",
                    "--duration-ms", "9000", "--pause-ms", "10",
                    "--ack-timeout-ms", "300"});
    std::this_thread::sleep_for(2s);
    fleet.control_upstream(0, "drain");
    std::this_thread::sleep_for(convergence_limit);
    const auto before = read_integer(fleet.upstream_stats(0), "executions");
    std::this_thread::sleep_for(2s);

    BOOST_TEST(before > 0);
    BOOST_TEST(read_integer(fleet.upstream_stats(0), "executions") == before);
    const json::object summary = fleet.wait_for_summary(*callers);
    BOOST_TEST(outcome_count(summary, "unknown") == 0);
    BOOST_TEST(outcome_count(summary, "no_answer") == 0);
}

BOOST_AUTO_TEST_CASE(graceful_stop)
{
    running_fleet running(small_shape(4));
    local_fleet& fleet = running.fleet;
    const std::string outcomes = fleet.work_folder() + "/outcomes";
    auto uploads = fleet.start_caller(
        "meetups", {"--work", "upload", "--callers", "12", "--requests", "20",
                    "--blocks", "20", "--duration-ms", "30000", "--pause-ms",
                    "50", "--ack-timeout-ms", "500", "--result-log", outcomes});
    auto watches = fleet.start_caller(
        "meetups",
        {"--work", "watch", "--callers", "10", "--duration-ms", "14000",
         "--patience-ms", "9000", "--ack-timeout-ms", "500"});
    std::this_thread::sleep_for(3s);

    for (const char* name : {"companion-0", "entry-0", "companion-1"})
    {
        fleet.signal(name, SIGTERM);
        BOOST_TEST(fleet.exited_successfully(name, 10s), name);
        if (name == std::string("entry-0"))
        {
            // The network fabric would stop routing to this entry; the caller
            // stand-in does not.
            fleet.start_entry(0);
        }
    }

    const json::object summary = fleet.wait_for_summary(*uploads);
    const json::object watch_summary = fleet.wait_for_summary(*watches);
    BOOST_TEST(outcome_count(summary, "unknown") == 0);
    BOOST_TEST(outcome_count(summary, "no_answer") == 0);
    BOOST_TEST(outcome_count(summary, "done") > 100);
    BOOST_TEST(read_integer(watch_of(watch_summary), "breaks") == 0);
    require_no_violation(fleet, outcomes);
}

BOOST_AUTO_TEST_CASE(accepted_in_force)
{
    running_fleet running(small_shape(3));
    local_fleet& fleet = running.fleet;
    const auto generation_of = [](const json::object& status)
    {
        return read_integer(
            status.at("configuration").as_object(), "generation");
    };

    // The store accepts the change, loses its answer and then goes down.
    fleet.set_store_fault("lose_answers");
    const auto lost =
        fleet.run_cli({"preset", "use", "peak", "--reason", "lost answer"});
    BOOST_TEST(lost.exit_code == 0, lost.errors);
    fleet.set_store_fault("down");
    std::this_thread::sleep_for(convergence_limit);
    for (std::size_t i = 0; i < fleet.upstreams().size(); ++i)
    {
        BOOST_TEST(generation_of(fleet.companion_status(i)) == 2);
    }

    // All entries are replaced one by one while the store is down.
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.signal_and_wait(process_name("entry", i), SIGKILL);
        fleet.start_entry(i);
        const bool learned = local_fleet::wait_until(
            [&]
            {
                const auto status = fleet.entry_status(i);
                return status.contains("configuration") &&
                       generation_of(status) == 2;
            },
            5s);
        BOOST_TEST(learned, "entry " << i << " did not learn from its peers");
    }
    const auto refused =
        fleet.run_cli({"preset", "use", "ordinary", "--reason", "no store"});
    BOOST_TEST(refused.exit_code == 5, refused.errors);

    // After the store is back, the next change takes effect and the audit chain
    // is intact.
    fleet.set_store_fault("none");
    const auto next = fleet.run_cli(
        {"preset", "use", "maintenance", "--reason", "back", "--wait"});
    BOOST_TEST(next.exit_code == 0, next.errors);
    BOOST_TEST(fleet.run_cli({"audit", "verify"}).exit_code == 0);
}

BOOST_AUTO_TEST_SUITE_END()
