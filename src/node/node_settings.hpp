#pragma once
/// Settings of a process on the layer-4 path, independent of their source.

#include "masticslip/core/types.hpp"
#include "masticslip/flow/flow_placement.hpp"
#include "masticslip/flow/policy_evidence.hpp"
#include "telemetry/log.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace masticslip
{

/// Validated settings of one process.
struct node_settings
{
    std::string name;
    std::string failure_domain;
    /// Receives packets: from callers at an entry, from entries at a companion.
    endpoint packet_address;
    /// Receives control messages (UDP) and policy requests (TCP). Its packed
    /// form is the instance id.
    endpoint control_address;
    endpoint ready_address;
    /// Address of the metrics server; nullopt: metrics are not served.
    std::optional<endpoint> metrics_address;
    endpoint store_address;
    /// Port on which callers receive packets, at their own address.
    std::uint16_t caller_port = 0;
    /// Shortest lease that the store grants.
    std::chrono::milliseconds min_lease{1'000};
    /// Flows older than this may be evicted when the flow table fills up. A
    /// companion also discards owner hints at this age.
    std::chrono::seconds flow_age_limit{60};
    /// Time within which a change that operators have written has to be in
    /// force.
    std::chrono::milliseconds policy_time_limit = default_policy_time_limit;
    /// Rule by which an entry places new flows.
    std::string placement{default_placement};
    /// Memory limit of the process in megabytes; zero: no limit.
    std::uint32_t memory_mb = 0;
    log_level level = log_level::info;
};

/// Settings that only a companion has.
struct companion_node_settings
{
    std::string service;
    /// The upstream receives packets at this address.
    endpoint upstream_address;
    /// The companion receives the upstream's packets at this address.
    endpoint upstream_packets;
    /// The companion receives the upstream's status at this address.
    endpoint status_address;
    std::chrono::milliseconds status_interval{1'000};
};

} // namespace masticslip
