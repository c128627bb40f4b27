// Services that a route named before and whose companions may hold its flows.

#include "masticslip/flow/entry_flow_core.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// Most companions of other services that are queried for a flow because they
/// cannot tell whether they hold it.
constexpr std::size_t max_unclear_holders = 4 * detail::lookup_width;

} // namespace

std::vector<service_id> entry_flow_core::services_of(
    const flow_endpoints& flow, const owner_lookup& item) const
{
    std::vector<service_id> result{item.service};
    if (!item.covers_other_services)
    {
        return result;
    }
    for (const service_id service : this->former_services_of(flow.target))
    {
        if (service != item.service)
        {
            result.push_back(service);
        }
    }
    return result;
}

std::set<service_id>
entry_flow_core::former_services_of(const endpoint& target) const
{
    std::set<service_id> result = this->former.of(target);
    for (const auto& [id, member] : this->directory.all())
    {
        const auto& targets = member.former_targets;
        if (std::find(targets.begin(), targets.end(), target) != targets.end())
        {
            result.insert(member.service);
        }
    }
    return result;
}

bool entry_flow_core::is_unclear_holder(
    time_point now,
    const directory_member& member,
    const owner_lookup& item) const
{
    const bool has_reported = member.load_received_at != time_point{};
    const bool is_behind = member.policy_position < this->first_policy_position;
    return member.service != item.service && counts_as_present(now, member) &&
           (!has_reported || is_behind || member.may_hold_other_flows);
}

std::size_t entry_flow_core::count_unclear_holders(
    time_point now, const owner_lookup& item) const
{
    // Flows from before the first policy have ended by then.
    if (now - this->first_policy_at >= this->settings.flow_age_limit)
    {
        return 0;
    }
    const auto& all = this->directory.all();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(),
        [this, now, &item](const auto& entry)
        { return this->is_unclear_holder(now, entry.second, item); }));
}

std::vector<instance_id> entry_flow_core::unclear_holders(
    time_point now, const flow_endpoints& flow, const owner_lookup& item) const
{
    const bool is_recent =
        now - this->last_version_at < this->settings.flow_age_limit;
    std::vector<instance_id> result;
    if (!item.covers_other_services || !is_recent)
    {
        return result;
    }
    for (const auto& [id, member] : this->directory.all())
    {
        if (this->is_unclear_holder(now, member, item))
        {
            result.push_back(id);
        }
    }
    // Bounds the cost of a flow after a restart of a large fleet.
    return highest_ranked(result, flow, max_unclear_holders);
}

bool entry_flow_core::query_other_services(
    time_point now, const flow_endpoints& flow, owner_lookup& item)
{
    if (item.covers_other_services || item.owner_status != owner_state::unknown)
    {
        return false;
    }
    item.covers_other_services = true;
    item.rounds = 0;
    this->query_companions(now, flow, item);
    if (item.pending.empty())
    {
        return false;
    }
    this->emit(
        now, flow_event_kind::owner_looked_up, flow, {}, result_code::done,
        static_cast<std::uint32_t>(item.pending.size()), item.trials,
        now - item.started, "other_services " + describe_answers(item));
    return true;
}

} // namespace masticslip
