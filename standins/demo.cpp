// Runs the Kigali fleet as separate processes on loopback. Callers watch, sign
// up, upload and read documents while a failure domain is taken out and put
// back in.

#include "fleet/local_fleet.hpp"

#include <boost/json.hpp>

#include <filesystem>
#include <iostream>
#include <thread>

namespace
{

using masticslip::standins::local_fleet;
using namespace std::chrono_literals;

void run_and_print(local_fleet& fleet, std::vector<std::string> arguments)
{
    std::cout << "$ masticslip";
    for (const auto& argument : arguments)
    {
        std::cout << ' ' << argument;
    }
    std::cout << '\n';
    const auto result = fleet.run_cli(std::move(arguments));
    std::cout << result.out << result.errors << std::flush;
}

} // namespace

int main(int, char** argv)
{
    const std::string program_folder =
        std::filesystem::absolute(argv[0]).parent_path().string();
    local_fleet fleet(masticslip::standins::kigali_shape(), program_folder);
    std::cout << "starting a store, 3 entries, 10 companions, 10 upstreams\n";
    if (!fleet.start())
    {
        std::cerr << "demo: the fleet did not become ready in time\n";
        return EXIT_FAILURE;
    }
    auto meetups = fleet.start_caller(
        "meetups", {"--work", "mixed", "--callers", "40", "--requests", "20",
                    "--pause-ms", "200", "--duration-ms", "9000", "--prefix",
                    "meetup-", "--ack-timeout-ms", "500"});
    auto papers = fleet.start_caller(
        "papers", {"--work", "upload", "--callers", "10", "--requests", "5",
                   "--pause-ms", "300", "--duration-ms", "9000", "--prefix",
                   "paper-", "--ack-timeout-ms", "500"});
    std::this_thread::sleep_for(2s);
    run_and_print(
        fleet, {"preset", "use", "peak", "--reason", "evening", "--wait"});
    run_and_print(
        fleet,
        {"domain", "out", "kgl-gas", "--reason", "power work", "--wait"});
    std::this_thread::sleep_for(2s);
    run_and_print(fleet, {"upstreams"});
    run_and_print(
        fleet, {"domain", "in", "kgl-gas", "--reason", "work done", "--wait"});
    run_and_print(fleet, {"status"});
    run_and_print(fleet, {"audit"});
    run_and_print(fleet, {"audit", "verify"});
    std::cout << "meetups: "
              << boost::json::serialize(fleet.wait_for_summary(*meetups))
              << "\npapers:  "
              << boost::json::serialize(fleet.wait_for_summary(*papers))
              << '\n';
    return EXIT_SUCCESS;
}
