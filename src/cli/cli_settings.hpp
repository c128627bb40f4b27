#pragma once
/// Settings and positional arguments of the masticslip command line.

#include "masticslip/core/types.hpp"
#include "settings/setting_table.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// Validated settings of the command line.
struct cli_settings
{
    std::vector<endpoint> store;
    std::vector<endpoint> entries;
    std::string operator_name;
    std::string reason;
    /// File that holds the version in force; empty: the store holds it.
    std::string against;
    std::chrono::milliseconds timeout{};
    bool json = false;
    bool wait = false;
    /// Positional arguments: noun, verb and their arguments.
    std::vector<std::string> words;
};

/// Definitions of all command-line settings.
setting_table make_cli_settings_table();

/// Reads and validates the settings. If any is invalid, returns nullopt and
/// appends a message for each to `faults`.
std::optional<cli_settings> read_cli_settings(
    int argc, const char* const* argv, std::vector<std::string>& faults);

} // namespace masticslip
