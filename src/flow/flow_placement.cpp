#include "masticslip/flow/flow_placement.hpp"

#include "masticslip/flow/upstream_outliers.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace masticslip
{

namespace
{

/// Expected requests in flight of an open flow. Flows that stay open send about
/// one request per second, which takes about 30 ms: 0.03 on average, so this
/// is a high estimate.
constexpr double in_flight_per_open_flow = 0.05;
/// Added for a candidate that did not answer recently, to make it the last
/// resort.
constexpr double suspect_cost = 100.0;
/// A cold upstream processes requests more slowly than a warm one.
constexpr double cold_factor = 2.0;
/// Costs that differ by less than this, in requests per slot, are ties.
constexpr double tie_width = 0.02;
constexpr std::uint64_t tie_steps = 1'024;
/// Share of the slots of an upstream on probation that flows of unrepeatable
/// requests may use, as a divisor. The rest is left to repeatable ones, whose
/// callers can retry after another loss.
constexpr std::uint32_t unrepeatable_divisor = 2;

} // namespace

double placement_cost(
    const placement_candidate& candidate, const placement_request& request)
{
    const upstream_load& load = candidate.load;
    const double work = load.in_flight + candidate.unreported_placements + 1.0 +
                        in_flight_per_open_flow * load.open_flows;
    const double slots = std::max(1U, load.concurrency);
    double cost = work / slots * (load.is_cold ? cold_factor : 1.0);
    cost += candidate.is_remote ? request.remote_cost : 0;
    cost += candidate.is_suspect ? suspect_cost : 0;
    const std::uint64_t tie_hash =
        hash_pair(request.flow_hash, candidate.id.value);
    return cost + tie_width * static_cast<double>(tie_hash % tie_steps) /
                      static_cast<double>(tie_steps);
}

namespace
{

bool accepts(const placement_candidate& candidate)
{
    const upstream_load& load = candidate.load;
    const bool is_full =
        load.is_cold && load.cold_capacity <= candidate.unreported_placements;
    return load.refusal == result_code::done && !is_full;
}

/// Returns the position with the lowest cost among `positions`.
template <class Positions>
std::optional<std::size_t> lowest_cost(
    const Positions& positions,
    std::span<const placement_candidate> candidates,
    const placement_request& request)
{
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (const std::size_t position : positions)
    {
        const double cost = placement_cost(candidates[position], request);
        if (!best || cost < best_cost)
        {
            best = position;
            best_cost = cost;
        }
    }
    return best;
}

/// Returns true if a candidate on probation has room for the flow.
/// `unstable_only` is true if there are no other candidates.
bool accepts_on_probation(
    const placement_candidate& candidate,
    const placement_request& request,
    bool unstable_only)
{
    const upstream_load& load = candidate.load;
    if (!request.is_repeatable && !unstable_only)
    {
        const std::uint32_t limit =
            std::max(1U, load.concurrency / unrepeatable_divisor);
        return load.in_flight + candidate.unreported_placements < limit;
    }
    // One, if the reported load is full but assumed to be outdated.
    const std::uint32_t free_slots =
        load.concurrency - std::min(load.in_flight, load.concurrency);
    return candidate.unreported_placements < std::max(1U, free_slots);
}

/// Positions of the candidates that accept a flow, by order of preference.
struct accepting_candidates
{
    std::vector<std::size_t> probes;
    std::vector<std::size_t> stable;
    std::vector<std::size_t> on_probation;
    std::vector<std::size_t> outliers;

    accepting_candidates(
        std::span<const placement_candidate> candidates,
        const placement_request& request)
    {
        this->stable.reserve(candidates.size());
        const bool outliers_only = std::all_of(
            candidates.begin(), candidates.end(),
            [](const placement_candidate& item) { return item.is_outlier; });
        const bool unstable_only = std::all_of(
            candidates.begin(), candidates.end(),
            [](const placement_candidate& item)
            { return item.load.on_probation; });
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            const placement_candidate& item = candidates[i];
            if (!accepts(item))
            {
                continue;
            }
            if (item.is_outlier && !outliers_only)
            {
                this->add_outlier(i, item, request);
            }
            else if (!item.load.on_probation)
            {
                this->stable.push_back(i);
            }
            else if (accepts_on_probation(item, request, unstable_only))
            {
                this->on_probation.push_back(i);
            }
        }
    }

    void add_outlier(
        std::size_t position,
        const placement_candidate& item,
        const placement_request& request)
    {
        if (request.is_repeatable && item.is_probe_due)
        {
            this->probes.push_back(position);
        }
        else if (request.is_repeatable && answers_mostly(item.load.outcomes))
        {
            this->outliers.push_back(position);
        }
    }
};

/// Returns the positions of the preferred candidates that accept the flow.
std::vector<std::size_t> accepting(
    std::span<const placement_candidate> candidates,
    const placement_request& request)
{
    accepting_candidates result(candidates, request);
    for (std::vector<std::size_t>* positions :
         {&result.probes, &result.stable, &result.on_probation})
    {
        if (!positions->empty())
        {
            return std::move(*positions);
        }
    }
    return std::move(result.outliers);
}

class least_cost_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(
        std::span<const placement_candidate> candidates,
        const placement_request& request) const override
    {
        return lowest_cost(accepting(candidates, request), candidates, request);
    }
};

/// Selects the lowest cost among `count` candidates sampled by the flow's hash.
class sampled_rule final : public placement_rule
{
public:
    explicit sampled_rule(std::size_t count) : count(count)
    {
    }

    [[nodiscard]] std::optional<std::size_t> choose(
        std::span<const placement_candidate> candidates,
        const placement_request& request) const override
    {
        auto sampled = accepting(candidates, request);
        const auto rank = [&](std::size_t position)
        {
            return hash_pair(candidates[position].id.value, request.flow_hash);
        };
        std::sort(
            sampled.begin(), sampled.end(),
            [&rank](std::size_t first, std::size_t second)
            { return rank(first) < rank(second); });
        sampled.resize(std::min(sampled.size(), this->count));
        return lowest_cost(sampled, candidates, request);
    }

private:
    std::size_t count;
};

class near_first_rule final : public placement_rule
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(
        std::span<const placement_candidate> candidates,
        const placement_request& request) const override
    {
        const auto all = accepting(candidates, request);
        std::vector<std::size_t> near;
        for (const std::size_t position : all)
        {
            const auto& candidate = candidates[position];
            const std::uint32_t busy =
                candidate.load.in_flight + candidate.unreported_placements;
            if (!candidate.is_remote && !candidate.is_suspect &&
                busy < candidate.load.concurrency)
            {
                near.push_back(position);
            }
        }
        return lowest_cost(near.empty() ? all : near, candidates, request);
    }
};

const least_cost_rule least_cost;
const sampled_rule three_choices(3);
const sampled_rule two_choices(2);
const sampled_rule random_choice(1);
const near_first_rule near_first;

const std::array<std::pair<std::string_view, const placement_rule*>, 5> rules{
    {{default_placement, &least_cost},
     {"three_choices", &three_choices},
     {"two_choices", &two_choices},
     {"random", &random_choice},
     {"near_first", &near_first}}};

} // namespace

std::vector<std::string> placement_rule_names()
{
    std::vector<std::string> result;
    result.reserve(rules.size());
    for (const auto& item : rules)
    {
        result.emplace_back(item.first);
    }
    return result;
}

const placement_rule* find_placement_rule(std::string_view name)
{
    for (const auto& item : rules)
    {
        if (item.first == name)
        {
            return item.second;
        }
    }
    return nullptr;
}

} // namespace masticslip
