#pragma once
/// Read-only commands.

#include "command_context.hpp"

namespace masticslip
{

cli_exit show_configuration(const command_context& context);
cli_exit diff_configuration(const command_context& context);
cli_exit list_presets(const command_context& context);
cli_exit list_domains(const command_context& context);
cli_exit show_status(const command_context& context);
cli_exit show_upstreams(const command_context& context);
cli_exit show_flows(const command_context& context);

} // namespace masticslip
