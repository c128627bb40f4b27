// flow_demo: runs the layer-4 path as real processes on loopback, while a
// failure domain is withdrawn and restored and processes are replaced.

#include "soak_world.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <unistd.h>

namespace
{

using namespace masticslip::soak;
using namespace std::chrono_literals;

constexpr std::chrono::seconds load_duration{12};

void print_results(const soak_world& world)
{
    for (const auto& [name, result] : world.callers().results())
    {
        std::cout << name << ": requests " << result.asked << ", in time "
                  << result.in_time << ", late " << result.late << ", failed "
                  << result.failed << '\n';
    }
    for (const auto& flow : world.callers().failed_flows())
    {
        std::cout << "failed: " << masticslip::to_string(flow) << '\n';
    }
    for (const auto& violation : world.checker().violations())
    {
        std::cout << "broken promise: " << violation << '\n';
    }
}

} // namespace

int main(int, char** argv)
{
    soak_settings settings;
    settings.program =
        (std::filesystem::absolute(argv[0]).parent_path() / "masticslip_node")
            .string();
    settings.folder = (std::filesystem::temp_directory_path() /
                       ("masticslip-demo-" + std::to_string(::getpid())))
                          .string();
    std::filesystem::create_directories(settings.folder);
    std::cout << "starting a store, 3 entries, 8 companions, 8 upstreams\n";
    soak_world world(settings);
    std::string reason;
    if (!world.start(reason))
    {
        std::cerr << "flow_demo: " << reason << '\n';
        return EXIT_FAILURE;
    }
    world.start_load(load_duration);
    const auto schedule =
        [&world](std::chrono::milliseconds at, const char* text, auto action)
    {
        world.at(
            at,
            [&world, text, action]
            {
                std::cout << text << std::endl;
                action(world);
            });
    };
    schedule(
        2s, "2 s: failure domain 1 is withdrawn",
        [](soak_world& target) { target.withdraw(1); });
    schedule(
        4s, "4 s: entry 0 is replaced",
        [](soak_world& target) { target.stop_process(0); });
    schedule(
        6s, "6 s: a companion is replaced",
        [](soak_world& target) { target.stop_process(3); });
    schedule(
        8s, "8 s: failure domain 1 is restored",
        [](soak_world& target) { target.restore(1); });
    schedule(
        10s, "10 s: an upstream is replaced by another",
        [](soak_world& target) { target.replace_host(2); });
    world.run(load_duration + 3s);
    print_results(world);
    std::cout << "logs in " << settings.folder
              << "; masticslip story flow CALLER>TARGET FILE... prints the "
                 "timeline of one flow\n";
    return world.checker().violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
