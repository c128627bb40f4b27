#pragma once
/// What an upstream says of itself to the companion beside it.

#include "masticslip/core/types.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace masticslip
{

/// One start of an upstream. An id may be used again by a later start, which
/// then has a larger start time.
struct upstream_incarnation
{
    std::string id;
    /// On the upstream's clock, since the Unix epoch.
    std::chrono::milliseconds started{};

    bool operator==(const upstream_incarnation&) const = default;
};

/// One status message.
struct upstream_status
{
    upstream_incarnation incarnation;
    /// Rises with each status of one incarnation.
    std::uint64_t sequence = 0;
    std::string service;
    std::string failure_domain;
    std::uint32_t concurrency = 1;
    bool is_draining = false;
    /// How much longer the upstream bears little load.
    std::chrono::milliseconds cold_for{};
};

} // namespace masticslip
