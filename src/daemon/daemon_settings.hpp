#pragma once
/// Settings of masticslipd.

#include "masticslip/core/admission_limit.hpp"
#include "masticslip/core/echo_token.hpp"
#include "masticslip/core/types.hpp"
#include "settings/setting_table.hpp"
#include "telemetry/log.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// Validated settings of one process.
struct daemon_settings
{
    bool is_entry = false;
    std::string name;
    std::string failure_domain;
    std::string service;
    endpoint internal_bind;
    endpoint admin_bind;
    endpoint upstream_bind;
    endpoint upstream_address;
    std::optional<endpoint> service_bind;
    std::vector<instance_id> seeds;
    std::vector<endpoint> store;
    std::vector<shared_key> keys;
    limit_policy policy = limit_policy::aimd;
    log_level level = log_level::info;
    std::uint32_t trace_sampling_interval = 0;
    std::size_t cache_flows = 0;
    std::chrono::milliseconds drain_limit{};
    std::chrono::milliseconds stop_delay{};
    bool check_only = false;
};

/// Names, defaults and checks of the settings.
setting_table make_daemon_settings_table();

/// Reads and validates the settings; nullopt and all errors if any is invalid.
std::optional<daemon_settings> read_daemon_settings(
    int argc, const char* const* argv, std::vector<std::string>& faults);

} // namespace masticslip
