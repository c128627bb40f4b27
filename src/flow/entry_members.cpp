// Hellos, companion reports and detection of lost companions.

#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/flow/detail/entry_flow_limits.hpp"

#include <algorithm>
#include <map>

namespace masticslip
{

using detail::discovery_time;

namespace
{

/// Interval of hellos to each companion in a small fleet.
constexpr std::chrono::milliseconds base_hello_interval{250};
/// Added to the interval for each companion, to bound an entry's send rate.
constexpr std::chrono::milliseconds hello_interval_per_member{5};
/// Hello intervals without a load after which a companion is silent.
constexpr int silent_after_hellos = 4;
/// Unlisted companions without a load for this long are removed.
constexpr std::chrono::seconds member_retention{30};
/// A companion without a load for this long is lost: longer than a restart,
/// which takes half a second, and a hello interval.
constexpr std::chrono::milliseconds lost_after{1'500};
/// Without an answer from any companion for this long an entry is isolated.
/// Several round trips, and longer than the hello interval in a small fleet.
constexpr std::chrono::milliseconds contact_limit{400};
/// Hello intervals without a load after which a companion is lost, in a large
/// fleet.
constexpr int lost_after_hellos = 5;
/// Unanswered requests of any kind after which a companion is lost.
constexpr std::uint32_t lost_after_requests = 5;
/// A departed companion may explain a number that still counts it for this
/// long: two hello intervals of a fleet of 100 processes. An address is given
/// to another instance two seconds after a departure at the earliest.
constexpr std::chrono::milliseconds departure_memory{1'500};
/// Silent companions that the store does not list count as present for this
/// long: their leases may have lapsed while the store was away.
constexpr std::chrono::seconds unlisted_grace{5};

} // namespace

bool entry_flow_core::is_lost(
    time_point now, const directory_member& member) const
{
    const time_point since = std::max(
        {member.load_received_at, member.known_since,
         this->contact.contact_restored_at()});
    const duration limit = std::max(
        duration(lost_after), this->hello_interval() * lost_after_hellos);
    // An entry without any answers is isolated itself and cannot tell which
    // companions are lost.
    const bool has_peer_contact =
        now - this->contact.last_received() <= limit && !this->is_isolated(now);
    // Under load, requests are more frequent than hellos.
    const time_point awaiting_since =
        std::max(member.unanswered_since, this->contact.contact_restored_at());
    const bool is_unresponsive =
        member.unanswered_requests >= lost_after_requests &&
        now - awaiting_since > lost_after;
    return has_peer_contact && now >= this->link_suspect_until &&
           (now - since > limit || is_unresponsive);
}

bool entry_flow_core::is_out_of_contact(
    time_point now, const directory_member& member)
{
    return !member.is_listed && member.is_silent &&
           now - member.load_received_at > unlisted_grace;
}

bool entry_flow_core::counts_as_present(
    time_point now, const directory_member& member)
{
    return !member.has_left && !is_out_of_contact(now, member);
}

bool entry_flow_core::is_isolated(time_point now) const
{
    return this->contact.is_lost(
        now, std::max(duration(contact_limit), this->hello_interval()));
}

bool entry_flow_core::reaches_all_services() const
{
    // Whether a usable companion is reachable, by service.
    std::map<service_id, bool> reached;
    for (const auto& [id, member] : this->directory.all())
    {
        const bool is_usable =
            !member.has_left && !this->current_policy().value().is_withdrawn(
                                    member.record.failure_domain);
        if (is_usable)
        {
            bool& any = reached[member.service];
            any = any || !member.is_silent;
        }
    }
    return std::all_of(
        reached.begin(), reached.end(),
        [](const auto& item) { return item.second; });
}

void entry_flow_core::report_contact_change(time_point now)
{
    const bool isolated = this->is_isolated(now);
    if (isolated == this->was_isolated)
    {
        return;
    }
    this->was_isolated = isolated;
    this->emit(
        now,
        isolated ? flow_event_kind::companions_lost
                 : flow_event_kind::companions_found,
        {}, {}, isolated ? result_code::not_run_no_upstream : result_code::done,
        static_cast<std::uint32_t>(this->directory.size()), 0,
        now - this->contact.last_received());
}

duration entry_flow_core::hello_interval() const
{
    return base_hello_interval +
           hello_interval_per_member * static_cast<int>(this->directory.size());
}

void entry_flow_core::on_report(
    time_point now, instance_id sender, const companion_report& message)
{
    if (message.order < this->directory.newest_report(sender))
    {
        // Late: what it says was true before an accepted report was sent.
        return;
    }
    const directory_member* known = this->directory.find(sender);
    const bool was_silent = known != nullptr && known->is_silent;
    const bool had_left = known != nullptr && known->has_left;
    this->reported_entry_count = message.entry_count;
    const bool is_new = this->directory.on_report(now, sender, message);
    this->has_received_report = true;
    this->report_outliers(now, sender);
    this->retry_waiting_openings(now, message.load);
    if (is_new || had_left != message.has_left)
    {
        this->update_stated_counts(now);
    }
    if (is_new || was_silent)
    {
        this->emit(
            now,
            is_new ? flow_event_kind::member_joined
                   : flow_event_kind::member_returned,
            {}, sender, message.load.refusal);
    }
    this->evidence.set_check_rank(message.entry_rank);
    this->compare_policy(now, sender, message);
}

void entry_flow_core::report_outliers(time_point now, instance_id sender)
{
    for (const outlier_change& change : this->outliers.on_load(now, sender))
    {
        this->emit(
            now, flow_event_kind::upstream_changed, {}, change.id,
            result_code::done, change.compared, 0, {},
            std::string(change.is_outlier ? "outlier" : "no_outlier") +
                " failed=" + std::to_string(change.outcomes.failed) +
                " answered=" + std::to_string(change.outcomes.answered));
    }
}

void entry_flow_core::compare_policy(
    time_point now, instance_id sender, const companion_report& message)
{
    const policy_mark& mark = message.policy;
    switch (this->policies.compare(mark))
    {
    case mark_relation::same_contents:
        this->policies.move_to(mark);
        [[fallthrough]];
    case mark_relation::nothing_new:
        if (!this->reads_backlog(now))
        {
            this->evidence.confirm_by_peer(now, message.policy_evidence_age);
        }
        break;
    case mark_relation::newer:
        if (!this->knows_newer_policy() ||
            mark.position > this->newest_reported_policy->position)
        {
            this->newest_reported_policy = mark;
        }
        this->output.fetch_policy(sender);
        break;
    }
}

bool entry_flow_core::knows_newer_policy() const
{
    return this->newest_reported_policy &&
           this->policies.compare(*this->newest_reported_policy) ==
               mark_relation::newer;
}

void entry_flow_core::send_hello(time_point now, directory_member& member)
{
    member.hello_sent_at = now;
    this->contact.on_request_sent(now);
    this->directory.on_request_sent(now, member.record.id);
    const service_count stated = this->stated_count(member.service);
    this->output.send(
        member.record.id,
        entry_hello{
            this->current_policy().mark(), member.is_listed, stated.size,
            stated.digest, member.newest_report, this->evidence.age(now)});
}

void entry_flow_core::send_first_hello(time_point now, instance_id id)
{
    this->output.send(
        id, entry_hello{
                this->current_policy().mark(), true, 0, 0,
                this->directory.newest_report(id), this->evidence.age(now)});
}

void entry_flow_core::send_due_hellos(time_point now)
{
    const duration interval = this->hello_interval();
    this->update_stated_counts(now);
    for (auto& [id, member] : this->directory.all())
    {
        if (now - member.hello_sent_at >= interval)
        {
            const duration silence = now - member.load_received_at;
            const bool is_silent = member.load_received_at != time_point{} &&
                                   silence > interval * silent_after_hellos;
            if (is_silent && !member.is_silent)
            {
                member.is_silent = true;
                this->emit(
                    now, flow_event_kind::member_silent, {}, id,
                    result_code::not_run_no_upstream, 0, 0, silence);
            }
            this->send_hello(now, member);
        }
    }
}

void entry_flow_core::check_own_link(time_point now)
{
    std::size_t present = 0;
    std::size_t late = 0;
    for (const auto& [id, member] : this->directory.all())
    {
        const bool counts = counts_as_present(now, member);
        const bool is_late = member.unanswered_requests != 0 &&
                             now - member.unanswered_since > contact_limit;
        present += counts ? 1 : 0;
        late += counts && is_late ? 1 : 0;
    }
    if (late * 2 > present)
    {
        this->link_suspect_until = now + lost_after;
    }
}

bool entry_flow_core::is_settled(time_point now) const
{
    return this->list_read_at && now - *this->list_read_at >= discovery_time;
}

void entry_flow_core::update_stated_counts(time_point now)
{
    this->stated_counts.clear();
    for (const auto& [id, member] : this->directory.all())
    {
        service_count& count = this->stated_counts[member.service];
        if (counts_as_present(now, member))
        {
            count.add(id);
        }
    }
    for (auto& [service, count] : this->stated_counts)
    {
        if (this->is_list_whole(now, service))
        {
            this->services_listed_whole.insert(service);
        }
        else
        {
            count = {};
        }
    }
}

bool entry_flow_core::is_list_whole(time_point now, service_id service) const
{
    if (this->services_listed_whole.contains(service))
    {
        return true;
    }
    bool is_any_present = false;
    for (const instance_id id : this->directory.of_service(service))
    {
        const directory_member& member = *this->directory.find(id);
        if (!counts_as_present(now, member))
        {
            continue;
        }
        is_any_present = true;
        if (!member.is_listed)
        {
            return false;
        }
    }
    return is_any_present && this->is_settled(now);
}

service_count entry_flow_core::stated_count(service_id service) const
{
    const auto found = this->stated_counts.find(service);
    return found == this->stated_counts.end() ? service_count{} : found->second;
}

bool entry_flow_core::explains_reported_counts(
    time_point now, service_id service) const
{
    service_count present;
    service_count counted;
    std::vector<instance_id> departed;
    std::vector<instance_id> not_counted;
    for (const instance_id id : this->directory.of_service(service))
    {
        const directory_member& member = *this->directory.find(id);
        if (!counts_as_present(now, member))
        {
            if (member.is_gone() && now - member.left_at < departure_memory)
            {
                departed.push_back(id);
                not_counted.push_back(id);
            }
            continue;
        }
        present.add(id);
        // A companion that is not counted yet must not stand in for one that is
        // not known.
        if (member.is_counted)
        {
            counted.add(id);
        }
        else
        {
            not_counted.push_back(id);
        }
    }
    const auto& ids = this->directory.of_service(service);
    return std::all_of(
        ids.begin(), ids.end(),
        [&](instance_id id)
        {
            const directory_member& member = *this->directory.find(id);
            const service_count& reported = member.reported_service;
            return !counts_as_present(now, member) ||
                   reported.size <= counted.size ||
                   is_explained(reported, present, departed) ||
                   is_explained(reported, counted, not_counted);
        });
}

bool entry_flow_core::knows_all_companions(
    time_point now, service_id service) const
{
    bool is_any_reported = false;
    bool is_any_present = false;
    bool are_registrations_kept = true;
    for (const instance_id id : this->directory.of_service(service))
    {
        const directory_member& member = *this->directory.find(id);
        if (!counts_as_present(now, member))
        {
            continue;
        }
        if (member.load_received_at == time_point{})
        {
            return false;
        }
        is_any_present = true;
        is_any_reported = is_any_reported || member.reported_service.size != 0;
        are_registrations_kept = are_registrations_kept && member.is_listed &&
                                 member.is_registration_continuous;
    }
    // The store may have lost registrations: then only a number that an entry
    // has stated, or the time, shows that all have registered again.
    return is_any_reported ? this->explains_reported_counts(now, service)
                           : (is_any_present && are_registrations_kept) ||
                                 this->is_list_whole(now, service);
}

void entry_flow_core::send_hello_to_all(time_point now)
{
    for (auto& [id, member] : this->directory.all())
    {
        this->send_hello(now, member);
    }
}

void entry_flow_core::remove_stale_members(time_point now)
{
    std::vector<instance_id> removable;
    for (const auto& [id, member] : this->directory.all())
    {
        const bool is_stale = now - member.load_received_at > member_retention;
        if (!member.is_listed &&
            (is_stale || (member.has_left && member.is_silent)))
        {
            removable.push_back(id);
        }
    }
    for (const instance_id id : removable)
    {
        this->emit(
            now, flow_event_kind::member_left, {}, id, result_code::done);
        this->directory.erase(now, id);
    }
    this->directory.forget_removed(now - this->settings.flow_age_limit);
}

} // namespace masticslip
