#pragma once
/// Dispatch of masticslip commands.

#include "cli_settings.hpp"

#include <iosfwd>

namespace masticslip
{

/// Exit codes of the command line; docs/RESULT_CODES.md has the table.
enum class cli_exit : int
{
    success = 0,
    failure = 1,
    usage = 2,
    invalid = 3,
    conflict = 4,
    store_unavailable = 5,
    undecided = 6,
    not_in_force = 7,
    not_found = 8,
    records_lost = 9
};

/// Runs one command. Results go to `out`, errors and progress to `errors`.
cli_exit run_command(
    const cli_settings& settings, std::ostream& out, std::ostream& errors);

} // namespace masticslip
