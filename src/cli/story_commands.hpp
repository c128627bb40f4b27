#pragma once
/// Verbs that read log files.

#include "command_context.hpp"

namespace masticslip
{

/// `story flow CALLER>TARGET FILE...`: all that processes did with one flow.
cli_exit tell_flow(const command_context& context);

/// `story policy NUMBER FILE...`: when a version or revision came into force.
cli_exit tell_policy(const command_context& context);

} // namespace masticslip
