#pragma once
/// Scenarios on the simulated fleet, defined by a JSON file. Its "faults" are
/// the steps of a scenario; they include planned operations.
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

/// A fault or a planned operation of a scenario.
struct scenario_step
{
    std::chrono::milliseconds at{};
    std::string kind;
    /// Index of the entry, host or failure domain, depending on `kind`. For
    /// "restore_store_copy", the age of the copy in seconds.
    std::size_t index = 0;
    std::size_t other = 0;
    std::chrono::milliseconds fault_duration{};
};

/// A scenario; it runs once with each seed.
struct scenario
{
    fleet_shape shape;
    /// Offered load as a fraction of the capacity of the first service.
    double load = 0.35;
    std::chrono::seconds length{25};
    std::vector<std::uint64_t> seeds{1};
    std::vector<scenario_step> steps;
};

/// Outcome of a scenario with one seed.
struct scenario_result
{
    std::uint64_t seed = 0;
    std::map<std::string, class_result> classes;
    std::vector<std::string> violations;
    double imbalance = 1;
    /// Control messages per instance and second.
    double control_rate = 0;
};

/// Parses and validates a scenario; nullopt and a reason if it is invalid.
std::optional<scenario>
parse_scenario(std::string_view text, failure_reason& reason);

/// Runs a scenario with one seed.
scenario_result play_scenario(const scenario& item, std::uint64_t seed);

/// Fraction of the requests that were served; late answers count in part.
double credit_of(const class_result& result);

/// Formats a result as a table.
std::string format_result(const scenario_result& result);

} // namespace masticslip::standin
