#pragma once
/// Experiments on the virtual fleet, read from a JSON file.
///
///     {"seconds": 25, "seeds": [1, 2], "load": 0.35, "loss": 0.01,
///      "placement": "two_choices", "wait_share": 0.4,
///      "shape": {"domains": 3, "entries": 4, "meetups": 7, "papers": 3},
///      "faults": [{"at_ms": 5000, "kind": "kill_entry", "index": 0,
///                  "for_ms": 500}]}

#include "masticslip/core/failure_reason.hpp"
#include "virtual_flow_fleet.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip::standin
{

/// One fault or planned step.
struct scenario_step
{
    std::chrono::milliseconds at{};
    std::string kind;
    /// Entry, host or failure domain, by its number.
    std::size_t index = 0;
    std::size_t other = 0;
    std::chrono::milliseconds lasts{};
};

/// One experiment.
struct scenario
{
    fleet_shape shape;
    /// Offered load as a share of the slots of the first service.
    double load = 0.35;
    std::chrono::seconds length{25};
    std::vector<std::uint64_t> seeds{1};
    std::vector<scenario_step> steps;
};

/// Outcome of one seed.
struct scenario_result
{
    std::uint64_t seed = 0;
    std::map<std::string, class_result> classes;
    std::vector<std::string> violations;
    double imbalance = 1;
    /// Control messages for each instance and second.
    double control_rate = 0;
};

/// Parses and checks an experiment; nullopt and a reason if it is bad.
std::optional<scenario>
parse_scenario(std::string_view text, failure_reason& reason);

/// Plays an experiment with one seed.
scenario_result play_scenario(const scenario& item, std::uint64_t seed);

/// Share of the requests that were served, late ones counted in part.
double credit_of(const class_result& result);

/// The table of one result.
std::string format_result(const scenario_result& result);

} // namespace masticslip::standin
