#include "masticslip/flow/companion_directory.hpp"

#include <algorithm>

namespace masticslip
{

directory_member& companion_directory::find_or_add(
    time_point now, const companion_record& record, bool& is_new)
{
    const service_id service = make_service_id(record.service);
    const auto found = this->members.find(record.id);
    is_new = found == this->members.end() || found->second.service != service;
    if (!is_new)
    {
        return found->second;
    }
    // The companion at this address may now serve a different service.
    this->erase(now, record.id);
    directory_member& created = this->members[record.id];
    created.newest_report = this->removed[record.id].newest_report;
    this->removed.erase(record.id);
    created.service = service;
    created.known_since = now;
    auto& ids = this->by_service[service];
    ids.insert(std::lower_bound(ids.begin(), ids.end(), record.id), record.id);
    return created;
}

bool companion_directory::on_listed(
    time_point now, const companion_record& record)
{
    directory_member* known = this->find(record.id);
    const bool reports_itself = known != nullptr && !known->is_silent &&
                                known->load_received_at != time_point{};
    if (reports_itself)
    {
        // A restored store may list what a former companion at this address
        // had registered.
        known->is_listed = true;
        return false;
    }
    bool is_new = false;
    directory_member& target = this->find_or_add(now, record, is_new);
    target.record = record;
    target.is_listed = true;
    return is_new;
}

void companion_directory::on_unlisted(instance_id id)
{
    if (directory_member* target = this->find(id))
    {
        target->is_listed = false;
    }
}

bool companion_directory::on_report(
    time_point now, instance_id id, const companion_report& report)
{
    bool is_new = false;
    const companion_record record{
        id, report.name, report.service, report.failure_domain,
        report.packet_address};
    directory_member& target = this->find_or_add(now, record, is_new);
    target.record = record;
    target.newest_report = report.order;
    target.is_stopping = report.is_stopping;
    if (report.has_left && !target.has_left)
    {
        target.left_at = now;
    }
    target.has_left = report.has_left;
    target.reported_service = {report.service_size, report.service_digest};
    target.is_counted =
        !report.has_left && (target.is_counted || report.service_size != 0);
    target.is_registration_continuous = report.is_registration_continuous;
    target.former_targets = report.former_targets;
    target.may_hold_other_flows = report.may_hold_other_flows;
    target.policy_position = report.policy.position;
    this->on_load(now, id, report.load);
    return is_new;
}

void companion_directory::on_request_sent(time_point now, instance_id id)
{
    if (directory_member* target = this->find(id))
    {
        if (target->unanswered_requests++ == 0)
        {
            target->unanswered_since = now;
        }
    }
}

void companion_directory::on_message_received(instance_id id)
{
    if (directory_member* target = this->find(id))
    {
        target->unanswered_requests = 0;
    }
}

void companion_directory::on_load(
    time_point now, instance_id id, const upstream_load& load)
{
    if (directory_member* target = this->find(id))
    {
        target->load = load;
        target->load_received_at = now;
        target->unreported_placements = 0;
        target->unanswered_openings = 0;
        target->is_silent = false;
    }
}

directory_member* companion_directory::find(instance_id id)
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

const directory_member* companion_directory::find(instance_id id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

const std::vector<instance_id>&
companion_directory::of_service(service_id service) const
{
    static const std::vector<instance_id> none;
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? none : found->second;
}

bool companion_directory::is_gone(instance_id id) const
{
    const directory_member* target = this->find(id);
    if (target != nullptr)
    {
        return target->is_gone();
    }
    const auto former = this->removed.find(id);
    return former != this->removed.end() && former->second.is_gone;
}

report_order companion_directory::newest_report(instance_id id) const
{
    const directory_member* target = this->find(id);
    if (target != nullptr)
    {
        return target->newest_report;
    }
    const auto former = this->removed.find(id);
    return former == this->removed.end() ? report_order{}
                                         : former->second.newest_report;
}

void companion_directory::forget_removed(time_point limit)
{
    std::erase_if(
        this->removed,
        [limit](const auto& item) { return item.second.removed_at < limit; });
}

void companion_directory::erase(time_point now, instance_id id)
{
    const auto found = this->members.find(id);
    if (found == this->members.end())
    {
        return;
    }
    this->removed[id] = {
        now, found->second.is_gone(), found->second.newest_report};
    auto& ids = this->by_service[found->second.service];
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
    this->members.erase(found);
}

} // namespace masticslip
