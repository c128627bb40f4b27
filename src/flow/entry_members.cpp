// Greetings, reports and the judgement of which companions are lost.

#include "masticslip/flow/entry_flow_core.hpp"

#include <algorithm>
#include <map>

namespace masticslip
{

namespace
{

/// Interval of greetings to each companion in a small fleet.
constexpr std::chrono::milliseconds greet_interval{250};
/// Added to the interval for each companion, to bound an entry's rate.
constexpr std::chrono::milliseconds greet_interval_per_member{5};
/// Greetings without an answer after which a companion is silent.
constexpr int silent_greetings = 4;
/// Companions that are neither listed nor heard are forgotten after this.
constexpr std::chrono::seconds member_memory{30};
/// A companion that has not been heard for this long is lost: longer than a
/// restart, which takes half a second, and a greeting.
constexpr std::chrono::milliseconds lost_after{1'500};
/// Without any companion's answer for this long an entry is cut off. Several
/// round trips, and longer than the pause between greetings in a small fleet.
constexpr std::chrono::milliseconds contact_limit{400};
/// Greetings without an answer before that, in a large fleet.
constexpr int lost_greetings = 5;
/// The same for questions of any kind.
constexpr std::uint32_t lost_questions = 5;

} // namespace

bool entry_flow_core::is_lost(
    time_point now, const directory_member& member) const
{
    const time_point since = std::max(
        {member.heard, member.known_since, this->contact.resumed_at()});
    const duration limit = std::max(
        duration(lost_after), this->greeting_interval() * lost_greetings);
    // An entry that hears nobody is cut off itself and tells nothing.
    const bool hears_others =
        now - this->contact.last_heard() <= limit && !this->is_cut_off(now);
    // Under load questions come more often than greetings.
    const time_point asked =
        std::max(member.asked_since, this->contact.resumed_at());
    const bool is_mute = member.unanswered_questions >= lost_questions &&
                         now - asked > lost_after;
    return hears_others && (now - since > limit || is_mute);
}

bool entry_flow_core::is_cut_off(time_point now) const
{
    return this->contact.is_lost(
        now, std::max(duration(contact_limit), this->greeting_interval()));
}

bool entry_flow_core::reaches_all_services() const
{
    // Whether a usable companion is in reach, by service.
    std::map<service_id, bool> reached;
    for (const auto& [id, member] : this->directory.all())
    {
        const bool is_usable =
            !member.has_left && !this->policy_in_force->value().is_withdrawn(
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

void entry_flow_core::watch_contact(time_point now)
{
    const bool cut_off = this->is_cut_off(now);
    if (cut_off == this->was_cut_off)
    {
        return;
    }
    this->was_cut_off = cut_off;
    this->emit(
        now,
        cut_off ? flow_event_kind::companions_lost
                : flow_event_kind::companions_found,
        {}, {}, cut_off ? result_code::not_run_no_upstream : result_code::done,
        static_cast<std::uint32_t>(this->directory.size()), 0,
        now - this->contact.last_heard());
}

duration entry_flow_core::greeting_interval() const
{
    return greet_interval +
           greet_interval_per_member * static_cast<int>(this->directory.size());
}

void entry_flow_core::on_report(
    time_point now, instance_id sender, const companion_report& message)
{
    const directory_member* known = this->directory.find(sender);
    const bool was_silent = known != nullptr && known->is_silent;
    this->known_entries = message.entry_count;
    const bool is_new = this->directory.on_report(now, sender, message);
    this->heard_companion = true;
    this->note_room(now, message.load);
    if (is_new || was_silent)
    {
        this->emit(
            now,
            is_new ? flow_event_kind::member_joined
                   : flow_event_kind::member_returned,
            {}, sender, message.load.refusal);
    }
    this->on_peer_policy(
        sender, message.policy_revision, message.policy_digest);
}

void entry_flow_core::on_peer_policy(
    instance_id peer, std::uint64_t revision, std::uint64_t digest)
{
    if (revision <= this->policy_in_force->revision())
    {
        return;
    }
    if (this->policy_in_force->is_known() &&
        digest == this->policy_in_force->digest())
    {
        this->policy_in_force =
            std::make_shared<policy>(*this->policy_in_force, revision);
        return;
    }
    this->output.fetch_policy(peer);
}

void entry_flow_core::greet(time_point now, directory_member& member)
{
    member.greeted = now;
    this->contact.on_asked(now);
    this->directory.on_asked(now, member.record.id);
    this->output.send(
        member.record.id,
        entry_hello{
            this->policy_in_force->revision(), member.is_listed,
            this->policy_in_force->digest()});
}

void entry_flow_core::greet_due(time_point now)
{
    const duration interval = this->greeting_interval();
    for (auto& [id, member] : this->directory.all())
    {
        if (now - member.greeted >= interval)
        {
            const duration silence = now - member.heard;
            const bool is_silent = member.heard != time_point{} &&
                                   silence > interval * silent_greetings;
            if (is_silent && !member.is_silent)
            {
                member.is_silent = true;
                this->emit(
                    now, flow_event_kind::member_silent, {}, id,
                    result_code::not_run_no_upstream, 0, 0, silence);
            }
            this->greet(now, member);
        }
    }
}

void entry_flow_core::greet_all(time_point now)
{
    for (auto& [id, member] : this->directory.all())
    {
        this->greet(now, member);
    }
}

void entry_flow_core::forget_members(time_point now)
{
    std::vector<instance_id> gone;
    for (const auto& [id, member] : this->directory.all())
    {
        const bool is_quiet = now - member.heard > member_memory;
        if (!member.is_listed &&
            (is_quiet || (member.has_left && member.is_silent)))
        {
            gone.push_back(id);
        }
    }
    for (const instance_id id : gone)
    {
        this->emit(
            now, flow_event_kind::member_left, {}, id, result_code::done);
        this->directory.erase(id);
    }
}

} // namespace masticslip
