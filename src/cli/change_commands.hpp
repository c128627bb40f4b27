#pragma once
/// Commands that change the configuration.

#include "command_context.hpp"

namespace masticslip
{

cli_exit apply_configuration(const command_context& context);
cli_exit use_preset(const command_context& context);
cli_exit withdraw_domain(const command_context& context);
cli_exit restore_domain(const command_context& context);
cli_exit settle_change(const command_context& context);

} // namespace masticslip
