#include "masticslip/flow/outlier_watch.hpp"

#include "masticslip/flow/upstream_outliers.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// The comparison reads the loads of the whole service.
constexpr std::chrono::milliseconds compare_interval{20};
/// Interval at which all entries together probe one upstream. Enough that its
/// failures still count at the next probe.
constexpr std::chrono::milliseconds probe_interval{250};
/// Steps in which the first probes of entries are spread over an interval.
constexpr std::uint64_t probe_steps = 64;
/// Of this many repeatable requests at most one is a probe: callers notice a
/// failed try.
constexpr std::uint32_t requests_per_probe = 20;

} // namespace

std::vector<outlier_change>
outlier_watch::on_load(time_point now, instance_id sender)
{
    const directory_member* member = this->directory.find(sender);
    if (member == nullptr)
    {
        return {};
    }
    const bool is_failing =
        member->load.outcomes.failed >= min_outlier_failures;
    const auto known = this->services.find(member->service);
    const bool is_watched = known != this->services.end();
    const bool is_required =
        is_failing || (is_watched && known->second.has_outliers);
    const bool is_recent =
        is_watched && now - known->second.compared_at < compare_interval;
    return is_required && !is_recent ? this->compare(now, member->service)
                                     : std::vector<outlier_change>{};
}

std::vector<outlier_change>
outlier_watch::compare(time_point now, service_id service)
{
    std::vector<directory_member*> members;
    std::vector<compared_upstream> compared;
    for (const instance_id id : this->directory.of_service(service))
    {
        directory_member* member = this->directory.find(id);
        if (member->has_left || member->is_silent)
        {
            member->is_outlier = false;
            continue;
        }
        members.push_back(member);
        compared.push_back({member->load.outcomes, member->is_outlier});
    }
    const std::vector<bool> outliers = find_outliers(compared);
    service_state& state = this->services[service];
    state.compared_at = now;
    state.has_outliers =
        std::find(outliers.begin(), outliers.end(), true) != outliers.end();
    std::vector<outlier_change> result;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        directory_member& member = *members[i];
        if (member.is_outlier == outliers[i])
        {
            continue;
        }
        member.is_outlier = outliers[i];
        // Entries learn of an outlier at almost the same time.
        const auto step =
            hash_pair(
                member.record.id.value,
                static_cast<std::uint64_t>(now.time_since_epoch().count())) %
            probe_steps;
        member.next_probe_step = static_cast<std::uint32_t>(step);
        member.probed_at = now;
        result.push_back(
            {member.record.id, outliers[i], compared[i].outcomes,
             static_cast<std::uint32_t>(members.size())});
    }
    return result;
}

bool outlier_watch::is_probe_due(
    time_point now,
    const directory_member& member,
    std::uint32_t entry_count) const
{
    const auto known = this->services.find(member.service);
    const duration interval =
        probe_interval * static_cast<int>(std::max(1U, entry_count));
    const duration wait =
        interval * (probe_steps - member.next_probe_step) / probe_steps;
    return member.is_outlier && known != this->services.end() &&
           known->second.placed_since_probe >= requests_per_probe &&
           now - member.probed_at >= wait;
}

void outlier_watch::on_placed(
    time_point now, directory_member& member, bool is_repeatable)
{
    const auto known = this->services.find(member.service);
    if (known == this->services.end())
    {
        return;
    }
    known->second.placed_since_probe += is_repeatable ? 1 : 0;
    if (member.is_outlier)
    {
        member.probed_at = now;
        member.next_probe_step = 0;
        known->second.placed_since_probe = 0;
    }
}

} // namespace masticslip
