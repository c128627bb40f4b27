// Upstreams whose requests fail: comparison within a service, and probes.

#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/flow/detail/entry_flow_limits.hpp"
#include "masticslip/flow/upstream_outliers.hpp"

#include <algorithm>

namespace masticslip
{

using detail::wait_interval;

namespace
{

/// Interval at which all entries together probe one upstream. Enough that its
/// failures still count at the next probe.
constexpr std::chrono::milliseconds fleet_probe_interval{250};
/// Steps in which the first probes of entries are spread over an interval.
constexpr std::uint64_t probe_offsets = 64;
/// Of this many repeatable requests at most one is a probe: callers notice a
/// failed try.
constexpr std::uint32_t requests_per_probe = 20;

} // namespace

void entry_flow_core::check_outlier(time_point now, instance_id sender)
{
    const directory_member* member = this->directory.find(sender);
    if (member == nullptr)
    {
        return;
    }
    const service_id service = member->service;
    const auto known = this->outliers.find(service);
    const bool is_failing =
        member->load.outcomes.failed >= min_outlier_failures;
    // The comparison reads the loads of the whole service.
    const bool is_recent = known != this->outliers.end() &&
                           now - known->second.compared_at < wait_interval;
    if (is_failing != member->is_outlier ||
        (known != this->outliers.end() && !is_recent))
    {
        this->compare_upstreams(now, service);
    }
}

void entry_flow_core::compare_upstreams(time_point now, service_id service)
{
    std::vector<directory_member*> members;
    std::vector<compared_upstream> compared;
    for (const instance_id id : this->directory.of_service(service))
    {
        directory_member* member = this->directory.find(id);
        if (counts_as_present(now, *member))
        {
            members.push_back(member);
            compared.push_back({member->load.outcomes, member->is_outlier});
        }
        else
        {
            member->is_outlier = false;
        }
    }
    const std::vector<bool> found = find_outliers(compared);
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        directory_member& member = *members[i];
        if (member.is_outlier == found[i])
        {
            continue;
        }
        member.is_outlier = found[i];
        member.probed_at = now - this->probe_offset(member);
        const outcome_counts& counts = compared[i].outcomes;
        this->emit(
            now, flow_event_kind::upstream_changed, {}, member.record.id,
            member.load.refusal, static_cast<std::uint32_t>(members.size()), 0,
            {},
            std::string(found[i] ? "outlier" : "no_outlier") +
                " failed=" + std::to_string(counts.failed) +
                " answered=" + std::to_string(counts.answered));
    }
    const bool any = std::find(found.begin(), found.end(), true) != found.end();
    if (any)
    {
        this->outliers[service].compared_at = now;
    }
    else
    {
        this->outliers.erase(service);
    }
}

bool entry_flow_core::is_probe_due(
    time_point now, const directory_member& member) const
{
    const auto known = this->outliers.find(member.service);
    return member.is_outlier && known != this->outliers.end() &&
           known->second.placed_since_probe >= requests_per_probe &&
           now - member.probed_at >= this->outlier_probe_interval();
}

duration entry_flow_core::outlier_probe_interval() const
{
    return fleet_probe_interval *
           static_cast<int>(std::max(1U, this->reported_entry_count));
}

duration entry_flow_core::probe_offset(const directory_member& member) const
{
    // Entries learn of an outlier at the same time; their numbers of arrivals
    // differ.
    const std::uint64_t hash =
        hash_pair(member.record.id.value, this->arrival_count);
    return this->outlier_probe_interval() * (hash % probe_offsets) /
           probe_offsets;
}

void entry_flow_core::count_probes(
    time_point now, directory_member& member, bool is_repeatable)
{
    const auto known = this->outliers.find(member.service);
    if (known == this->outliers.end())
    {
        return;
    }
    if (is_repeatable)
    {
        ++known->second.placed_since_probe;
    }
    if (member.is_outlier)
    {
        member.probed_at = now;
        known->second.placed_since_probe = 0;
    }
}

} // namespace masticslip
