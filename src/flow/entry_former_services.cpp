// Services that a route named before and whose companions may hold its flows.

#include "masticslip/flow/entry_flow_core.hpp"

#include <algorithm>

namespace masticslip
{

std::vector<service_id> entry_flow_core::services_of(
    const flow_endpoints& flow, const owner_lookup& item) const
{
    std::vector<service_id> result{item.service};
    if (!item.covers_former_services)
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

std::size_t entry_flow_core::count_unclear_holders(
    time_point now, const owner_lookup& item) const
{
    // Flows from before the first policy have ended by then.
    if (now - this->first_policy_at >= this->settings.flow_age_limit)
    {
        return 0;
    }
    const auto is_unclear = [this, now, &item](const auto& entry)
    {
        const directory_member& member = entry.second;
        const bool has_reported = member.load_received_at != time_point{};
        const bool is_behind =
            member.policy_position < this->first_policy_position;
        return member.service != item.service &&
               counts_as_present(now, member) &&
               (!has_reported || is_behind || member.may_hold_other_flows);
    };
    const auto& all = this->directory.all();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), is_unclear));
}

bool entry_flow_core::query_former_services(
    time_point now, const flow_endpoints& flow, owner_lookup& item)
{
    const bool is_required =
        !item.covers_former_services &&
        item.owner_status == owner_state::unknown &&
        judge_flow_loss(this->evidence_of(now, flow, item)) ==
            loss_verdict::reset;
    if (!is_required)
    {
        return false;
    }
    item.covers_former_services = true;
    item.rounds = 0;
    this->query_companions(now, flow, item);
    return !item.pending.empty();
}

} // namespace masticslip
