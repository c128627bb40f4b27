// flow_experiment: plays an experiment file on the virtual fleet of the
// layer-4 path and prints a table for each seed.

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
    std::string rule;
    try
    {
        TCLAP::CmdLine line(
            "Plays an experiment on the virtual fleet. Exits with 1 if a "
            "promise was broken.",
            ' ', version_text);
        TCLAP::UnlabeledValueArg<std::string> file(
            "file", "Experiment in JSON form", true, "", "FILE", line);
        TCLAP::MultiArg<std::uint64_t> seed(
            "s", "seed", "Play this seed instead of those of the file", false,
            "NUMBER", line);
        TCLAP::ValueArg<std::string> placement(
            "p", "placement", "Use this placement rule instead of the file's",
            false, "", "RULE", line);
        line.parse(argc, argv);
        rule = placement.getValue();
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
    auto item = standin::parse_scenario(text, reason);
    if (!item)
    {
        std::cerr << "flow_experiment: " << path << ": " << reason.text << '\n';
        return exit_usage;
    }
    if (!rule.empty() && find_placement_rule(rule) == nullptr)
    {
        std::cerr << "flow_experiment: no placement rule '" << rule << "'\n";
        return exit_usage;
    }
    if (!rule.empty())
    {
        item->shape.placement = rule;
    }
    bool kept = true;
    for (const std::uint64_t seed : seeds.empty() ? item->seeds : seeds)
    {
        const auto result = standin::play_scenario(*item, seed);
        std::cout << standin::format_result(result);
        kept = kept && result.violations.empty();
    }
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}
