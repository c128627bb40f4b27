#pragma once
/// Settings and words of one masticslip command.

#include "masticslip/core/types.hpp"
#include "settings/setting_table.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// Checked settings of the command line.
struct cli_settings
{
    std::vector<endpoint> store;
    std::vector<endpoint> entries;
    std::string operator_name;
    std::string reason;
    std::chrono::milliseconds timeout{};
    bool json = false;
    bool wait = false;
    /// Noun, verb and arguments.
    std::vector<std::string> words;
};

/// The table behind the settings.
setting_table make_cli_settings_table();

/// Reads and checks the settings; nullopt and all faults if any is bad.
std::optional<cli_settings> read_cli_settings(
    int argc, const char* const* argv, std::vector<std::string>& faults);

} // namespace masticslip
