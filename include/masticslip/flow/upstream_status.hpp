#pragma once
/// Status that an upstream sends to its local companion.

#include "masticslip/core/types.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace masticslip
{

/// One incarnation of an upstream. A later one may reuse the id and then has a
/// larger start time.
struct upstream_incarnation
{
    std::string id;
    /// Start time on the upstream's clock, since the Unix epoch.
    std::chrono::milliseconds started{};

    bool operator==(const upstream_incarnation&) const = default;
};

/// One status message.
struct upstream_status
{
    upstream_incarnation incarnation;
    /// Increases with each status of one incarnation.
    std::uint64_t sequence = 0;
    std::string service;
    std::string failure_domain;
    /// Address at which the upstream receives packets.
    endpoint address;
    std::uint32_t concurrency = 1;
    bool is_draining = false;
    /// Remaining warm-up time, during which the upstream handles little load.
    std::chrono::milliseconds cold_for{};
};

} // namespace masticslip
