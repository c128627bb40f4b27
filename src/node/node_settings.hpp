#pragma once
/// Settings of a process on the layer-4 path, whatever they were read from.

#include "masticslip/core/types.hpp"
#include "masticslip/flow/flow_placement.hpp"
#include "telemetry/log.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace masticslip
{

/// Checked settings of one process.
struct node_settings
{
    std::string name;
    std::string failure_domain;
    /// Takes packets: of callers at an entry, of entries at a companion.
    endpoint packet_address;
    /// Takes control messages (UDP) and policy requests (TCP); its packed form
    /// is the instance's id.
    endpoint control_address;
    endpoint ready_address;
    /// Serves the metrics; nullopt: not served.
    std::optional<endpoint> metrics_address;
    endpoint store_address;
    /// Callers take packets at their own address and this port.
    std::uint16_t caller_port = 0;
    /// Shortest lease that the store grants.
    std::chrono::milliseconds min_lease{1'000};
    /// Flows older than this may be forgotten.
    std::chrono::seconds flow_age_limit{60};
    /// Rule by which an entry places new flows.
    std::string placement{default_placement};
    /// Memory limit of the process in megabytes; zero: none.
    std::uint32_t memory_mb = 0;
    log_level level = log_level::info;
};

/// What only a companion has.
struct companion_node_settings
{
    std::string service;
    /// The upstream takes packets here.
    endpoint upstream_address;
    /// The upstream sends its packets here.
    endpoint upstream_packets;
    /// The upstream sends its status here.
    endpoint status_address;
    std::chrono::milliseconds status_interval{1'000};
};

} // namespace masticslip
