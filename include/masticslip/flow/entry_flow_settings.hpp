#pragma once
/// Settings of an entry's decision logic.

#include "masticslip/flow/flow_placement.hpp"
#include "masticslip/flow/policy_evidence.hpp"

#include <chrono>
#include <string>

namespace masticslip
{

/// Identity, limits and placement settings of an entry.
struct entry_flow_settings
{
    std::string failure_domain;
    /// Maximum number of cached flows. Beyond it, closing flows and those
    /// older than `flow_age_limit` are evicted: they can be looked up.
    std::size_t max_flows = 200'000;
    std::chrono::seconds flow_age_limit{60};
    /// A name of placement_rule_names().
    std::string placement{default_placement};
    /// Fraction of a route's time limit for which an opening may wait for
    /// capacity. The rest leaves time for the answer, or for the caller to use
    /// an alternative. Zero: openings are rejected immediately.
    double wait_share = 0.4;
    /// Time within which a change of the policy has to be in force.
    std::chrono::milliseconds policy_time_limit = default_policy_time_limit;
};

} // namespace masticslip
