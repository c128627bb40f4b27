#pragma once
/// Commands that read log files.

#include "command_context.hpp"

namespace masticslip
{

/// `story flow CALLER>TARGET FILE...`: prints the log lines of all
/// processes about one flow.
cli_exit show_flow_timeline(const command_context& context);

/// `story policy NUMBER FILE...`: prints when a version or revision of
/// the policy came into force at each process.
cli_exit show_policy_timeline(const command_context& context);

} // namespace masticslip
