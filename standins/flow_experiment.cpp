// flow_experiment: simulates the scenario in a file on the virtual fleet of
// the layer-4 path and prints a table of results for each seed.

#include "masticslip_version.hpp"
#include "scenario.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

constexpr int exit_usage = 2;

} // namespace

int main(int argc, char** argv)
{
    using namespace masticslip;
    std::string path;
    std::vector<std::uint64_t> seeds;
    std::string placement_rule;
    try
    {
        TCLAP::CmdLine command_line(
            "Plays an experiment on the virtual fleet. Exits with 1 if a "
            "promise was broken.",
            ' ', version_text);
        TCLAP::UnlabeledValueArg<std::string> file(
            "file", "Experiment in JSON form", true, "", "FILE", command_line);
        TCLAP::MultiArg<std::uint64_t> seed(
            "s", "seed", "Play this seed instead of those of the file", false,
            "NUMBER", command_line);
        TCLAP::ValueArg<std::string> placement(
            "p", "placement", "Use this placement rule instead of the file's",
            false, "", "RULE", command_line);
        command_line.parse(argc, argv);
        placement_rule = placement.getValue();
        path = file.getValue();
        seeds = seed.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        std::cerr << "flow_experiment: " << error.error() << '\n';
        return exit_usage;
    }
    std::ifstream file(path);
    if (!file)
    {
        std::cerr << "flow_experiment: cannot read " << path << '\n';
        return exit_usage;
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    failure_reason reason;
    auto scenario = standin::parse_scenario(text, reason);
    if (!scenario)
    {
        std::cerr << "flow_experiment: " << path << ": " << reason.text << '\n';
        return exit_usage;
    }
    if (!placement_rule.empty() &&
        find_placement_rule(placement_rule) == nullptr)
    {
        std::cerr << "flow_experiment: no placement rule '" << placement_rule
                  << "'\n";
        return exit_usage;
    }
    if (!placement_rule.empty())
    {
        scenario->shape.placement = placement_rule;
    }
    bool guarantees_held = true;
    for (const std::uint64_t seed : seeds.empty() ? scenario->seeds : seeds)
    {
        const auto result = standin::play_scenario(*scenario, seed);
        std::cout << standin::format_result(result);
        guarantees_held = guarantees_held && result.violations.empty();
    }
    return guarantees_held ? EXIT_SUCCESS : EXIT_FAILURE;
}
