// flow_soak: runs masticslip_node processes under random faults; exits with 1
// if a promise was broken or service did not recover.

#include "fault_plan.hpp"
#include "masticslip_version.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <unistd.h>

namespace
{

using namespace masticslip;
using namespace masticslip::soak;
using namespace std::chrono_literals;

constexpr int exit_usage = 2;
/// Time without new faults at the end, in which service must recover: more
/// than twice `fault_settle_time` (4 s) plus a cold start (2 s).
constexpr std::chrono::seconds recovery_period{12};
/// Last part of the recovery period, in which recovery is measured.
constexpr std::chrono::seconds measurement_period{4};
/// Smallest fraction of requests that must be served in that part.
constexpr double min_served_share = 0.99;

struct options
{
    soak_settings settings;
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 1;
    std::chrono::seconds length{20};
    std::chrono::milliseconds gap{700};
    bool keeps_logs = false;
};

std::string folder_of(std::uint64_t seed)
{
    const std::string name = "masticslip-soak-" + std::to_string(::getpid()) +
                             "-" + std::to_string(seed);
    return (std::filesystem::temp_directory_path() / name).string();
}

void schedule_faults(
    soak_world& world, const options& chosen, const soak_settings& settings)
{
    const auto faults =
        draw_faults(settings.seed, settings, chosen.length, chosen.gap);
    for (const auto& fault : faults)
    {
        world.at(fault.at, [&world, fault] { fault.apply(world); });
        if (chosen.keeps_logs)
        {
            std::cout << "  " << fault.at.count() << " ms: " << fault.name
                      << '\n';
        }
    }
}

/// Prints the first broken promises; all are written to a file in `folder`, as
/// are the flows that went astray.
void report_violations(const soak_world& world, const std::string& folder)
{
    constexpr std::size_t max_printed = 5;
    const auto& violations = world.checker().violations();
    std::ofstream file(folder + "/violations.txt");
    for (const std::string& text : world.findings().violations())
    {
        file << "during a fault of the store: " << text << '\n';
    }
    for (std::size_t i = 0; i < violations.size(); ++i)
    {
        file << violations[i] << '\n';
        if (i < max_printed)
        {
            std::cout << "  broken: " << violations[i] << std::endl;
        }
    }
    if (violations.size() > max_printed)
    {
        std::cout << "  and " << violations.size() - max_printed
                  << " more, see violations.txt" << std::endl;
    }
}

/// Prints the result of a run; returns true if all promises held and service
/// recovered.
bool report_run(const soak_world& world, const options& chosen)
{
    const std::chrono::milliseconds end = chosen.length;
    const double served = world.served_share(
        end + recovery_period - measurement_period, end + recovery_period);
    const auto& violations = world.checker().violations();
    const bool passed = violations.empty() && served >= min_served_share;
    std::cout << "seed " << world.seed() << ": " << (passed ? "kept" : "BROKEN")
              << ", served " << world.served_share(0ms, end)
              << " during faults, " << served << " after, " << violations.size()
              << " broken promises, " << world.excused_resets() << " of "
              << world.held_flow_resets() << " resets of held flows excused, "
              << world.findings().violations().size()
              << " flows astray during faults of the store" << std::endl;
    return passed;
}

/// Runs one seed; returns true if all promises held and service recovered.
bool run_seed(const options& chosen, std::uint64_t seed)
{
    soak_settings settings = chosen.settings;
    settings.seed = seed;
    settings.folder = folder_of(seed);
    std::filesystem::create_directories(settings.folder);
    bool passed = false;
    {
        soak_world world(settings);
        std::string reason;
        if (!world.start(reason))
        {
            std::cout << "seed " << seed << ": start-up failed: " << reason
                      << "; logs in " << settings.folder << std::endl;
            return false;
        }
        world.start_load(chosen.length + recovery_period);
        schedule_faults(world, chosen, settings);
        world.run(chosen.length + recovery_period + 2s);
        passed = report_run(world, chosen);
        report_violations(world, settings.folder);
    }
    if (passed && !chosen.keeps_logs)
    {
        std::filesystem::remove_all(settings.folder);
    }
    else
    {
        std::cout << "  logs in " << settings.folder << std::endl;
    }
    return passed;
}

std::optional<options> read_options(int argc, char** argv)
{
    options result;
    try
    {
        TCLAP::CmdLine line(
            "Runs masticslip_node processes under random faults.", ' ',
            version_text);
        TCLAP::ValueArg<std::uint64_t> seed(
            "s", "seed", "First seed", false, 1, "NUMBER", line);
        TCLAP::ValueArg<std::uint64_t> count(
            "n", "seeds", "How many seeds", false, 1, "NUMBER", line);
        TCLAP::ValueArg<int> seconds(
            "t", "seconds", "Time with faults", false, 20, "SECONDS", line);
        TCLAP::ValueArg<int> gap(
            "g", "gap-ms", "Mean time between faults", false, 700,
            "MILLISECONDS", line);
        TCLAP::ValueArg<std::uint32_t> entries(
            "e", "entries", "Entries", false, 3, "NUMBER", line);
        TCLAP::ValueArg<std::uint32_t> meetups(
            "m", "hosts", "Upstreams of the first service", false, 5, "NUMBER",
            line);
        TCLAP::ValueArg<double> load(
            "l", "load", "Load as a share of the capacity", false,
            result.settings.load, "SHARE", line);
        TCLAP::ValueArg<std::uint32_t> network(
            "", "network",
            "Second part of the loopback addresses; by default of the process",
            false, result.settings.network, "NUMBER", line);
        TCLAP::SwitchArg logs(
            "", "keep-logs", "Keep the logs and print the faults", line);
        line.parse(argc, argv);
        result.first_seed = seed.getValue();
        result.seeds = count.getValue();
        result.length = std::chrono::seconds(seconds.getValue());
        result.gap = std::chrono::milliseconds(gap.getValue());
        result.settings.entries = entries.getValue();
        result.settings.meetups = meetups.getValue();
        result.settings.load = load.getValue();
        result.settings.network = static_cast<std::uint8_t>(network.getValue());
        result.keeps_logs = logs.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        std::cerr << "flow_soak: " << error.error() << '\n';
        return std::nullopt;
    }
    result.settings.program =
        (std::filesystem::absolute(argv[0]).parent_path() / "masticslip_node")
            .string();
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    const auto chosen = read_options(argc, argv);
    if (!chosen)
    {
        return exit_usage;
    }
    std::uint64_t broken = 0;
    for (std::uint64_t i = 0; i < chosen->seeds; ++i)
    {
        broken += run_seed(*chosen, chosen->first_seed + i) ? 0 : 1;
    }
    std::cout << chosen->seeds << " seeds, " << broken << " broken\n";
    return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
