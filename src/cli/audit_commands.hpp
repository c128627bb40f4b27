#pragma once
/// Commands on the chain of audit records.

#include "command_context.hpp"

namespace masticslip
{

/// Prints all records, and where and when each came into force.
cli_exit show_audit(const command_context& context);

/// Checks the links of the chain, and that it has the records of all changes
/// that processes remember.
cli_exit verify_audit(const command_context& context);

} // namespace masticslip
