// Trials: a packet of a flow is sent to a companion that cannot tell whether
// its upstream holds the flow.

#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/flow/detail/sequence_window.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// The answers of a lookup count for its further trials for this long. An
/// upstream returns a packet of an unknown flow within milliseconds.
constexpr std::chrono::milliseconds trial_memory{1'000};
/// Maximum number of lookups that are remembered.
constexpr std::size_t max_trials = 2'000;
/// Most companions of one kind that a log line names.
constexpr std::size_t max_named = 8;

void append_names(
    std::string& text, const char* key, const std::vector<instance_id>& ids)
{
    if (ids.empty())
    {
        return;
    }
    text += std::string(" ") + key + "=";
    for (std::size_t i = 0; i < std::min(ids.size(), max_named); ++i)
    {
        text += (i == 0 ? "" : ",") + to_string(ids[i].address());
    }
    if (ids.size() > max_named)
    {
        text += ",+" + std::to_string(ids.size() - max_named);
    }
}

} // namespace

std::optional<instance_id> entry_flow_core::next_trial(
    const flow_endpoints& flow, const owner_lookup& item) const
{
    if (item.owner_status != owner_state::unknown || item.uncertain.empty())
    {
        // Packets of a flow whose owner was known are not tried elsewhere.
        return std::nullopt;
    }
    // The route's own service first: most flows are of the present route.
    std::vector<instance_id> of_route;
    std::vector<instance_id> of_others;
    for (const instance_id id : item.uncertain)
    {
        if (const directory_member* member = this->directory.find(id))
        {
            auto& ids = member->service == item.service ? of_route : of_others;
            ids.push_back(id);
        }
    }
    const auto& candidates = of_route.empty() ? of_others : of_route;
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return candidates[hash_flow_endpoints(flow) % candidates.size()];
}

void entry_flow_core::keep_trial(
    time_point now, const flow_endpoints& flow, owner_lookup item)
{
    if (this->trials.size() >= max_trials)
    {
        return;
    }
    item.packets.clear();
    item.deadline = now + trial_memory;
    this->trials[flow] = std::move(item);
}

detail::owner_lookup entry_flow_core::resume_lookup(
    time_point now, const flow_endpoints& flow, std::uint32_t acknowledged)
{
    owner_lookup result;
    const auto found = this->trials.find(flow);
    if (found != this->trials.end())
    {
        if (now < found->second.deadline &&
            detail::is_within_window(found->second.acknowledged, acknowledged))
        {
            result = std::move(found->second);
        }
        this->trials.erase(found);
    }
    if (result.started == time_point{})
    {
        result.started = now;
    }
    return result;
}

void entry_flow_core::expire_trials(time_point now)
{
    erase_if(
        this->trials,
        [now](const auto& item) { return item.second.deadline <= now; });
}

std::string entry_flow_core::describe_answers(const owner_lookup& item)
{
    std::string text = "queries=" + std::to_string(item.queries);
    append_names(text, "asks", item.pending);
    append_names(text, "denied", item.absent);
    append_names(text, "cannot_tell", item.uncertain);
    append_names(text, "silent", item.unanswered);
    return text;
}

} // namespace masticslip
