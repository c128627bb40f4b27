#pragma once
/// Weighted rendezvous hashing: nodes with the same members compute the same
/// ranking, and a join or leave moves the minimum number of flows.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
/// rates" (1998), with the logarithmic weighting of Schindelhauer and
/// Schomaker (2005).

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <vector>

namespace masticslip
{

/// An instance and its relative share of new work.
struct weighted_instance
{
    instance_id id;
    std::uint32_t weight = 1;
};

/// Score of one instance for a key; larger is better. Weight zero scores the
/// lowest possible value. Thread-safe.
double
rendezvous_score(std::uint64_t key_hash, const weighted_instance& candidate);

/// Returns the best `count` instances for a key, best first. Thread-safe.
std::vector<instance_id> rank_candidates(
    std::uint64_t key_hash,
    const std::vector<weighted_instance>& members,
    std::size_t count);

} // namespace masticslip
