// Lookup of the owners of flows that the entry does not know.

#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/flow/detail/entry_flow_limits.hpp"
#include "masticslip/flow/detail/sequence_window.hpp"

#include <algorithm>

namespace masticslip
{

using detail::contains;
using detail::lookup_width;

namespace
{

/// Number of highest-ranked companions that are sent hints and queried first.
constexpr std::size_t hint_count = 3;
/// Timeout for answers of the hinted companions, before others are queried.
constexpr std::chrono::milliseconds hint_query_timeout{30};
/// Rounds of queries after the hinted companions. New members move others to
/// lower ranks, so an owner may be beyond the first round.
constexpr std::size_t max_rounds = 4;
/// Timeout for answers in a lookup; below the callers' first retransmission
/// interval.
constexpr std::chrono::milliseconds lookup_timeout{100};
/// Maximum number of packets of one flow that are held during a lookup: a
/// caller's window.
constexpr std::size_t max_held_packets = 16;
/// Maximum number of concurrent lookups, which hold packets.
constexpr std::size_t max_lookups = 2'000;

} // namespace

void entry_flow_core::start_lookup(
    time_point now,
    const flow_packet& packet,
    std::optional<instance_id> except,
    owner_state owner)
{
    const route_definition* route =
        this->current_policy().find_route(packet.flow.target);
    const bool is_full = this->lookups.size() >= max_lookups;
    if (route == nullptr || is_full || packet.flags.resets)
    {
        return;
    }
    const auto known = this->lookups.find(packet.flow);
    const bool is_new = known == this->lookups.end();
    if (is_new)
    {
        this->lookups[packet.flow] =
            this->resume_lookup(now, packet.flow, packet.acknowledged);
    }
    owner_lookup& item = this->lookups[packet.flow];
    if (!is_new &&
        !detail::is_within_window(item.acknowledged, packet.acknowledged))
    {
        // Of a former or later flow from the same port: the caller sends it
        // again if it is still of use.
        return;
    }
    item.acknowledged = packet.acknowledged;
    item.owner_status = std::max(item.owner_status, owner);
    item.has_payload = item.has_payload || packet.payload_size > 0;
    if (item.packets.size() < max_held_packets)
    {
        item.packets.emplace_back(packet.raw.begin(), packet.raw.end());
    }
    if (except)
    {
        item.move_to(item.absent, *except);
    }
    if (!is_new)
    {
        return;
    }
    item.service = make_service_id(route->service);
    this->query_companions(now, packet.flow, item);
    this->emit(
        now, flow_event_kind::owner_looked_up, packet.flow,
        except.value_or(instance_id{}), result_code::done,
        static_cast<std::uint32_t>(item.pending.size()), item.trials, {},
        describe_answers(item));
    if (item.pending.empty())
    {
        this->finish_lookup(now, packet.flow);
    }
}

void entry_flow_core::query_companions(
    time_point now, const flow_endpoints& flow, owner_lookup& item)
{
    std::vector<std::vector<instance_id>> groups;
    for (const service_id service : this->services_of(flow, item))
    {
        groups.push_back(this->directory.of_service(service));
    }
    groups.push_back(this->unclear_holders(now, flow, item));
    std::size_t largest_group = 0;
    for (const auto& ids : groups)
    {
        largest_group = std::max(largest_group, ids.size());
    }
    std::size_t width = 0;
    while (item.pending.empty() && item.rounds <= max_rounds &&
           width < largest_group)
    {
        // The first round queries the companions that were sent hints.
        width = item.rounds == 0 ? hint_count : item.rounds * lookup_width;
        item.deadline =
            now + (item.rounds == 0 ? hint_query_timeout : lookup_timeout);
        this->arm_timer(item.deadline);
        ++item.rounds;
        for (const auto& ids : groups)
        {
            this->add_pending(now, ids, flow, width, item);
        }
    }
    item.queries += static_cast<std::uint32_t>(item.pending.size());
    // An answer that repeats zero counts as one that was not asked for. One
    // beside it is within the same windows.
    const owner_query query{flow, std::max(item.acknowledged, 1U)};
    for (const instance_id id : item.pending)
    {
        this->directory.on_request_sent(now, id);
        this->output.send(id, query);
    }
}

void entry_flow_core::add_pending(
    time_point now,
    const std::vector<instance_id>& ids,
    const flow_endpoints& flow,
    std::size_t width,
    owner_lookup& item) const
{
    for (const instance_id id : highest_ranked(ids, flow, width))
    {
        if (!item.is_queried(id) &&
            counts_as_present(now, *this->directory.find(id)))
        {
            item.pending.push_back(id);
        }
    }
}

void entry_flow_core::on_answer(
    time_point now, instance_id sender, const owner_answer& message)
{
    const auto found = this->lookups.find(message.flow);
    // An answer that was not asked for names no sequence number: a late one may
    // be about a former flow of the port. The lookup asks its sender anyway.
    const bool is_answer_to_lookup =
        found != this->lookups.end() && message.acknowledged != 0 &&
        detail::is_within_window(
            found->second.acknowledged, message.acknowledged);
    if (message.answer == ownership::owned)
    {
        if (is_answer_to_lookup)
        {
            this->assign_owner(now, message.flow, sender, owner_source::answer);
        }
        this->confirm_owner(sender, message);
        return;
    }
    if (!is_answer_to_lookup)
    {
        return;
    }
    owner_lookup& item = found->second;
    const bool has_hint = message.owner.value != 0 &&
                          !contains(item.absent, message.owner) &&
                          !this->directory.is_gone(message.owner);
    if (has_hint && this->directory.find(message.owner) != nullptr)
    {
        // If the hint is wrong, the companion returns the packets.
        this->assign_owner(
            now, message.flow, message.owner, owner_source::hint);
        return;
    }
    if (has_hint)
    {
        item.owner_status = owner_state::unreachable;
        this->send_first_hello(now, message.owner);
    }
    item.move_to(
        message.answer == ownership::uncertain ? item.uncertain : item.absent,
        sender);
    if (item.pending.empty())
    {
        this->finish_lookup(now, message.flow);
    }
}

void entry_flow_core::confirm_owner(
    instance_id sender, const owner_answer& message)
{
    const auto found = this->flows.find(message.flow);
    const bool is_known =
        found != this->flows.end() && found->second.companion == sender;
    const bool is_about_flow =
        is_known && (message.acknowledged == 0 ||
                     detail::is_within_window(
                         found->second.acknowledged, message.acknowledged));
    if (is_about_flow)
    {
        found->second.confirmed = true;
        found->second.is_evident = true;
        found->second.is_probe = false;
        this->trials.erase(message.flow);
    }
}

void entry_flow_core::record_sequence(
    instance_id sender, const flow_opened& message)
{
    const auto found = this->flows.find(message.flow);
    if (found != this->flows.end() && found->second.companion == sender)
    {
        found->second.is_evident = true;
        found->second.acknowledged = message.upstream_sequence;
    }
}

void entry_flow_core::finish_lookup(time_point now, const flow_endpoints& flow)
{
    owner_lookup& item = this->lookups[flow];
    if (this->query_next_companions(now, flow, item) ||
        this->query_other_services(now, flow, item))
    {
        return;
    }
    if (const auto trial = this->next_trial(flow, item))
    {
        this->assign_owner(now, flow, *trial, owner_source::trial);
        return;
    }
    const loss_verdict verdict =
        judge_flow_loss(this->evidence_of(now, flow, item));
    const bool resets_caller = verdict == loss_verdict::reset;
    this->emit(
        now,
        resets_caller ? flow_event_kind::flow_reset
                      : flow_event_kind::owner_missing,
        flow, item.unanswered.empty() ? instance_id{} : item.unanswered.front(),
        result_code::unknown_flow_lost,
        static_cast<std::uint32_t>(item.absent.size() + item.unanswered.size()),
        item.trials, now - item.started,
        this->describe_lookup(now, flow, item, verdict));
    if (resets_caller)
    {
        this->output.reset_caller(flow, item.acknowledged);
    }
    this->lookups.erase(flow);
}

bool entry_flow_core::query_next_companions(
    time_point now, const flow_endpoints& flow, owner_lookup& item)
{
    // Companions with hints are not waited for beyond the first timeout, but
    // queried again with the others.
    const bool is_hint_round = item.rounds == 1;
    if (!is_hint_round || this->count_unqueried(now, flow, item) == 0)
    {
        for (const instance_id id : std::vector(item.pending))
        {
            item.move_to(item.unanswered, id);
        }
    }
    item.pending.clear();
    if (this->count_unqueried(now, flow, item) == 0)
    {
        return false;
    }
    this->query_companions(now, flow, item);
    return !item.pending.empty();
}

std::size_t entry_flow_core::count_unqueried(
    time_point now, const flow_endpoints& flow, const owner_lookup& item) const
{
    const auto is_unqueried = [this, now, &item](instance_id id)
    {
        return !item.is_queried(id) &&
               counts_as_present(now, *this->directory.find(id));
    };
    const auto others = this->unclear_holders(now, flow, item);
    auto result = static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), is_unqueried));
    for (const service_id service : this->services_of(flow, item))
    {
        const auto& ids = this->directory.of_service(service);
        result += static_cast<std::size_t>(
            std::count_if(ids.begin(), ids.end(), is_unqueried));
    }
    return result;
}

loss_evidence entry_flow_core::evidence_of(
    time_point now, const flow_endpoints& flow, const owner_lookup& item) const
{
    const std::vector<service_id> services = this->services_of(flow, item);
    loss_evidence result;
    result.owner = item.owner_status;
    result.is_list_read = this->list_read_at.has_value();
    result.are_all_known =
        result.is_list_read && this->former.is_complete_for(flow.target) &&
        std::all_of(
            services.begin(), services.end(),
            [this, now](service_id service)
            { return this->knows_all_companions(now, service); });
    result.is_newer_policy_known = this->knows_newer_policy();
    result.has_payload = item.has_payload;
    result.absent = item.absent.size();
    result.unasked = this->count_unqueried(now, flow, item);
    result.unanswered = item.pending.size() + item.unanswered.size();
    result.uncertain =
        item.uncertain.size() + this->count_unclear_holders(now, item);
    return result;
}

std::string entry_flow_core::describe_lookup(
    time_point now,
    const flow_endpoints& flow,
    const owner_lookup& item,
    loss_verdict verdict) const
{
    std::size_t known = 0;
    std::size_t left = 0;
    std::size_t listed = 0;
    std::uint32_t reported = 0;
    const std::vector<service_id> services = this->services_of(flow, item);
    for (const service_id service : services)
    {
        std::uint32_t size = 0;
        for (const instance_id id : this->directory.of_service(service))
        {
            const directory_member& member = *this->directory.find(id);
            ++known;
            left += member.has_left ? 1 : 0;
            listed += member.is_listed ? 1 : 0;
            size = std::max(size, member.reported_service.size);
        }
        reported += size;
    }
    const auto policy_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now - this->first_policy_at);
    return "services=" + std::to_string(services.size()) +
           " known=" + std::to_string(known) +
           " listed=" + std::to_string(listed) +
           " left=" + std::to_string(left) +
           " reported=" + std::to_string(reported) +
           " absent=" + std::to_string(item.absent.size()) +
           " uncertain=" + std::to_string(item.uncertain.size()) +
           " unanswered=" + std::to_string(item.unanswered.size()) +
           " owner=" + std::string(to_string(item.owner_status)) +
           " kept=" + std::string(to_string(verdict)) +
           " settled=" + std::to_string(this->is_settled(now)) +
           " policy_known_ms=" + std::to_string(policy_age.count()) + " " +
           describe_answers(item);
}

void entry_flow_core::assign_owner(
    time_point now,
    const flow_endpoints& flow,
    instance_id owner,
    owner_source source)
{
    const auto found = this->lookups.find(flow);
    owner_lookup item = std::move(found->second);
    this->lookups.erase(found);
    directory_member* member = this->directory.find(owner);
    if (member == nullptr)
    {
        return;
    }
    const bool is_trial = source == owner_source::trial;
    flow_record& record = this->flows[flow];
    record = {};
    record.companion = owner;
    record.confirmed = !is_trial;
    record.is_probe = is_trial;
    record.acknowledged = item.acknowledged;
    record.known_since = now;
    record.last_packet = now;
    item.trials += is_trial ? 1 : 0;
    this->emit(
        now, flow_event_kind::owner_found, flow, owner, result_code::done,
        item.queries, item.trials, now - item.started,
        "by=" + std::string(to_string(source)) + " " + describe_answers(item));
    const std::size_t count = is_trial ? 1 : item.packets.size();
    for (std::size_t i = 0; i < std::min(count, item.packets.size()); ++i)
    {
        this->output.send_packet(
            member->record.packet_address, item.packets[i]);
    }
    if (is_trial)
    {
        this->keep_trial(now, flow, std::move(item));
    }
}

void entry_flow_core::expire_lookups(time_point now)
{
    std::vector<flow_endpoints> due;
    for (const auto& item : this->lookups)
    {
        if (item.second.deadline <= now)
        {
            due.push_back(item.first);
        }
        else
        {
            this->arm_timer(item.second.deadline);
        }
    }
    for (const flow_endpoints& flow : due)
    {
        this->finish_lookup(now, flow);
    }
}

void entry_flow_core::send_owner_hint(
    const flow_endpoints& flow, flow_record& record)
{
    record.hint_sent = true;
    const directory_member* owner = this->directory.find(record.companion);
    if (owner == nullptr)
    {
        return;
    }
    const owner_hint hint{flow, record.companion};
    for (const instance_id id :
         this->ranked_companions(owner->service, flow, hint_count))
    {
        if (id != record.companion)
        {
            this->output.send(id, hint);
        }
    }
}

} // namespace masticslip
