#pragma once
/// Selection of the companion that receives a new flow.
///
/// Load pattern: the loads known to entries are up to one report interval old,
/// and many flows open between two reports. Each entry therefore adds its own
/// recent placements to the reported load, and breaks ties by the flow's hash,
/// so that entries with the same data do not all choose the same upstream.
/// An upstream on probation (upstream_stability.hpp) looks idle and is chosen
/// only if no other accepts, for repeatable requests before others. An outlier
/// is chosen for a repeatable request if it is to be probed, or if none else
/// accepts and it answers most requests.
///
///     const placement_rule* rule = find_placement_rule("two_choices");
///     const auto chosen = rule->choose(candidates, {hash, remote_cost});

#include "masticslip/core/types.hpp"
#include "masticslip/flow/flow_messages.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip
{

/// One companion that may receive a flow.
struct placement_candidate
{
    instance_id id;
    upstream_load load;
    /// Flows placed there by this entry since `load` was reported.
    std::uint32_t unreported_placements = 0;
    /// True if it is in another failure domain than the entry.
    bool is_remote = false;
    /// True if it did not answer recent opening packets.
    bool is_suspect = false;
    /// True if its requests fail far more often than those of the others
    /// (upstream_outliers.hpp).
    bool is_outlier = false;
    /// True for an outlier that may have recovered.
    bool is_probe_due = false;
};

/// Properties of the flow to be placed.
struct placement_request
{
    std::uint64_t flow_hash = 0;
    /// Cost added to remote candidates, in requests per slot; higher for
    /// routes whose flows carry more bytes.
    double remote_cost = 0;
    /// False if a request of the flow must run at most once: a loss of its
    /// upstream leaves its caller without an answer.
    bool is_repeatable = true;
};

/// Expected load of a candidate with one more flow, in requests per slot;
/// lower is better. Thread-safe.
double placement_cost(
    const placement_candidate& candidate, const placement_request& request);

/// A placement algorithm. Immutable and thread-safe.
class placement_rule
{
public:
    virtual ~placement_rule() = default;

    /// Returns the index of the chosen candidate, or nullopt if none accepts
    /// new flows.
    [[nodiscard]] virtual std::optional<std::size_t> choose(
        std::span<const placement_candidate> candidates,
        const placement_request& request) const = 0;
};

/// Names of all rules, the default first.
std::vector<std::string> placement_rule_names();

/// Returns the rule with this name, or null. Rules have static storage.
/// Thread-safe.
///
/// - `least_cost`: the candidate with the lowest placement_cost.
/// - `three_choices`, `two_choices`, `random`: the lowest cost among three,
///   two or one candidates sampled by the flow's hash.
/// - `near_first`: a candidate of the entry's own failure domain while one has
///   a free slot, otherwise the lowest cost.
const placement_rule* find_placement_rule(std::string_view name);

/// Name of the default rule.
inline constexpr std::string_view default_placement = "least_cost";

} // namespace masticslip
