#pragma once
/// Position in the history of the key-value store.
///
/// A store that is restored from an older copy gives out revisions again. Its
/// era, which rises by one with each restoration, tells the two histories
/// apart. A store that never reports an era stays at era zero.
///
///     store_position before{0, 90};
///     store_position after{1, 40};
///     before < after; // The copy is the later state of the store.

#include <compare>
#include <cstdint>
#include <string>

namespace masticslip
{

/// Ordered by era, then by revision.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const store_position&) const = default;
};

/// Returns "ERA:REVISION", or only the revision in era zero. Thread-safe.
std::string to_string(const store_position& position);

} // namespace masticslip
