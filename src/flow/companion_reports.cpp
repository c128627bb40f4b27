// Reports of a companion to entries.

#include "masticslip/flow/companion_flow_core.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// Numbers of companions that entries stated are reported for this long: until
/// entries that were restarted together know all companions again.
constexpr std::chrono::seconds service_size_retention{5};

} // namespace

companion_report companion_flow_core::report(time_point now)
{
    companion_report result;
    result.name = this->settings.name;
    result.service = this->settings.service;
    result.failure_domain = this->settings.failure_domain;
    result.packet_address = this->settings.packet_address;
    result.load = this->load(now);
    result.policy = this->current_policy().mark();
    result.policy_evidence_age = this->evidence.age(now);
    result.entry_count = static_cast<std::uint32_t>(this->entries.size());
    result.is_stopping = this->stopping;
    result.has_left = this->has_left(now);
    const service_count stated = this->largest_service_count(now);
    result.service_size = stated.size;
    result.service_digest = stated.digest;
    result.is_registration_continuous = this->is_registration_continuous;
    ++this->order.number;
    result.order = this->order;
    result.may_hold_other_flows =
        this->may_hold_unknown_flows(now) ||
        this->former_targets.size() > max_former_targets;
    for (const endpoint& target : this->former_targets)
    {
        if (result.former_targets.size() < max_former_targets)
        {
            result.former_targets.push_back(target);
        }
    }
    return result;
}

void companion_flow_core::follow_order(const report_order& newest)
{
    if (newest > this->order)
    {
        this->order = {newest.process + 1, 0};
    }
}

bool companion_flow_core::has_left(time_point now) const
{
    // A companion that stops after its upstream has ended does not return.
    return this->upstream_is_down() &&
           ((this->stopping && !this->awaits_presence(now)) ||
            this->monitor.has_departed() || this->monitor.may_have_departed());
}

service_count companion_flow_core::largest_service_count(time_point now) const
{
    service_count result;
    for (const auto& [id, entry] : this->entries)
    {
        if (now - entry.service_stated_at <= service_size_retention &&
            entry.service.size > result.size)
        {
            result = entry.service;
        }
    }
    return result;
}

void companion_flow_core::notify_waiting_entries(time_point now)
{
    if (this->waiters.empty())
    {
        return;
    }
    const upstream_load current = this->load(now);
    if (current.refusal != result_code::done)
    {
        return;
    }
    const std::uint32_t limit = current.in_flight_limit;
    std::uint32_t free_slots = current.is_cold
                                   ? current.cold_capacity
                                   : limit - std::min(limit, current.in_flight);
    for (; free_slots != 0; --free_slots)
    {
        const auto entry = this->waiters.take();
        if (!entry)
        {
            return;
        }
        this->send_report(now, *entry);
    }
}

void companion_flow_core::send_reports(time_point now)
{
    companion_report message = this->report(now);
    message.entry_rank = 0;
    for (auto& [id, entry] : this->entries)
    {
        entry.last_report_at = now;
        this->output.send(id, message);
        message.entry_rank = std::min(message.entry_rank + 1, max_check_rank);
    }
}

void companion_flow_core::send_report(time_point now, instance_id entry)
{
    companion_report message = this->report(now);
    for (const auto& [id, known] : this->entries)
    {
        if (id == entry || message.entry_rank == max_check_rank)
        {
            break;
        }
        ++message.entry_rank;
    }
    this->output.send(entry, message);
}

} // namespace masticslip
