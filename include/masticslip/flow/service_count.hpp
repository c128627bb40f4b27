#pragma once
/// Number of companions of a service with a digest of their ids, and whether
/// two processes count the same companions.
///
/// Load pattern: upstreams are replaced one after the other, and each departure
/// changes the number that entries state to each other. Until the new number
/// has reached all of them, an entry that compares numbers alone has to assume
/// a companion that it does not know, and resets no lost flow. The digest shows
/// that the difference is a companion that has departed.
///
///     service_count stated;
///     stated.add(id);
///     if (is_explained(stated, counted, departed)) ...
///
/// Caveat: ids are addresses. A departed companion may explain a difference
/// only until its address can be given to another instance.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <span>

namespace masticslip
{

/// Companions of one service.
struct service_count
{
    std::uint32_t size = 0;
    /// Sum of the hashes of their ids, modulo 2^64; zero: not known.
    std::uint64_t digest = 0;

    void add(instance_id id)
    {
        ++this->size;
        this->digest += hash_pair(id.value, 0);
    }

    bool operator==(const service_count&) const = default;
};

/// True if `stated` counts exactly the companions of `base` and some of
/// `others`. Differences of more than three, or among more than sixteen others,
/// are not explained, to bound the cost. Precondition: `others` are distinct
/// and not counted in `base`. Thread-safe.
bool is_explained(
    const service_count& stated,
    const service_count& base,
    std::span<const instance_id> others);

} // namespace masticslip
