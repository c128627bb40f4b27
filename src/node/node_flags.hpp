#pragma once
/// Flags and environment variables of masticslip_node. Settings that are
/// specific to a machine come from the platform's settings file instead.

#include "node_settings.hpp"
#include "settings/setting_table.hpp"

namespace masticslip
{

/// Returns the definitions of the flags.
setting_table make_node_settings_table();

/// Applies validated flags to `settings`. Precondition: `flags` was read with
/// the table of make_node_settings_table().
void apply_flags(const setting_values& flags, node_settings& settings);

} // namespace masticslip
