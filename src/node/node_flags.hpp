#pragma once
/// Flags and environment variables of masticslip_node; what differs from
/// machine to machine comes from the platform's settings file.

#include "node_settings.hpp"
#include "settings/setting_table.hpp"

namespace masticslip
{

/// The table behind the flags.
setting_table make_node_settings_table();

/// Applies checked flags. Precondition: they were read with the table above.
void apply_flags(const setting_values& flags, node_settings& settings);

} // namespace masticslip
