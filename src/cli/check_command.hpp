#pragma once
/// The command that checks a configuration before it is sent.

#include "command_context.hpp"

namespace masticslip
{

cli_exit check_configuration_file(const command_context& context);

} // namespace masticslip
