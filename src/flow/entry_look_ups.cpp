// Search for the owners of flows that the entry does not know.

#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/flow/detail/entry_flow_limits.hpp"

#include <algorithm>

namespace masticslip
{

using detail::contains;
using detail::look_up_width;

namespace
{

/// Companions by rank that are told the owner of a flow, and are asked first.
constexpr std::size_t hint_width = 3;
/// Wait for the first companions' answers before all others are asked.
constexpr std::chrono::milliseconds hint_timeout{30};
/// Times that a look-up asks the next companions. New members move others to
/// lower ranks, so an owner may be beyond the first.
constexpr std::size_t max_waves = 4;
/// Wait for answers to a look-up; below the callers' first retransmission.
constexpr std::chrono::milliseconds look_up_timeout{100};
/// Packets of one flow that are held during a look-up: a caller's window.
constexpr std::size_t max_held_packets = 16;
/// Look-ups that hold packets at the same time.
constexpr std::size_t max_look_ups = 2'000;

void remove(std::vector<instance_id>& ids, instance_id id)
{
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

} // namespace

void entry_flow_core::start_look_up(
    time_point now,
    const flow_packet& packet,
    std::optional<instance_id> except)
{
    const route_definition* route =
        this->policy_in_force->find_route(packet.flow.target);
    const bool is_full = this->look_ups.size() >= max_look_ups;
    if (route == nullptr || is_full || packet.flags.resets)
    {
        return;
    }
    const auto known = this->look_ups.find(packet.flow);
    const bool is_new = known == this->look_ups.end();
    look_up& item = this->look_ups[packet.flow];
    item.acknowledged = packet.acknowledged;
    item.has_payload = item.has_payload || packet.payload_size > 0;
    if (item.packets.size() < max_held_packets)
    {
        item.packets.emplace_back(packet.raw.begin(), packet.raw.end());
    }
    if (except && !contains(item.absent, *except))
    {
        item.absent.push_back(*except);
        remove(item.pending, *except);
        remove(item.uncertain, *except);
    }
    if (!is_new)
    {
        return;
    }
    item.service = make_service_id(route->service);
    item.started = now;
    this->ask_owners(now, packet.flow, item);
    this->emit(
        now, flow_event_kind::owner_looked_up, packet.flow,
        except.value_or(instance_id{}), result_code::done,
        static_cast<std::uint32_t>(item.pending.size()));
    if (item.pending.empty())
    {
        this->finish_look_up(now, packet.flow);
    }
}

void entry_flow_core::ask_owners(
    time_point now, const flow_ends& flow, look_up& item)
{
    const std::size_t service_size =
        this->directory.of_service(item.service).size();
    const bool may_repeat = this->may_repeat(flow);
    std::size_t width = 0;
    while (item.pending.empty() && item.waves <= max_waves &&
           width < service_size)
    {
        // The first wave asks those that were told the owner.
        width = item.waves == 0 ? hint_width : item.waves * look_up_width;
        item.deadline =
            now + (item.waves == 0 ? hint_timeout : look_up_timeout);
        this->arm(item.deadline);
        ++item.waves;
        const auto ids = this->ranked_companions(item.service, flow, width);
        for (const instance_id id : ids)
        {
            const directory_member& member = *this->directory.find(id);
            // No answer is awaited from a lost companion if the caller may
            // repeat what the flow carries.
            const bool is_given_up = may_repeat && this->is_lost(now, member);
            if (!contains(item.absent, id) && !contains(item.uncertain, id) &&
                !member.has_left && !is_given_up)
            {
                item.pending.push_back(id);
            }
        }
    }
    item.is_complete = width >= service_size;
    const owner_query query{flow, item.acknowledged};
    for (const instance_id id : item.pending)
    {
        this->directory.on_asked(now, id);
        this->output.send(id, query);
    }
}

void entry_flow_core::on_answer(
    time_point now, instance_id sender, const owner_answer& message)
{
    const auto known = this->flows.find(message.flow);
    if (known != this->flows.end() && known->second.companion == sender &&
        message.answer == ownership::owned)
    {
        known->second.confirmed = true;
        known->second.is_owned = true;
        known->second.is_probe = false;
    }
    const auto found = this->look_ups.find(message.flow);
    if (found == this->look_ups.end())
    {
        return;
    }
    look_up& item = found->second;
    if (message.answer == ownership::owned)
    {
        this->settle_owner(now, message.flow, sender, true);
        this->flows[message.flow].is_owned = true;
        return;
    }
    if (!contains(item.absent, message.owner) &&
        this->directory.find(message.owner) != nullptr)
    {
        // If it is wrong, the companion returns the packets.
        this->settle_owner(now, message.flow, message.owner, true);
        return;
    }
    remove(item.pending, sender);
    if (message.answer == ownership::uncertain)
    {
        item.uncertain.push_back(sender);
    }
    else if (!contains(item.absent, sender))
    {
        item.absent.push_back(sender);
    }
    if (item.pending.empty())
    {
        this->finish_look_up(now, message.flow);
    }
}

void entry_flow_core::finish_look_up(time_point now, const flow_ends& flow)
{
    look_up& item = this->look_ups[flow];
    const bool first_wave_ended = item.waves == 1;
    if (!item.is_complete && (item.pending.empty() || first_wave_ended))
    {
        item.pending.clear();
        this->ask_owners(now, flow, item);
        if (!item.pending.empty())
        {
            return;
        }
    }
    if (!item.uncertain.empty())
    {
        const std::size_t index = hash_flow_ends(flow) % item.uncertain.size();
        this->settle_owner(now, flow, item.uncertain[index], false);
        return;
    }
    const bool tells_caller = item.is_complete && item.pending.empty() &&
                              !item.absent.empty() && item.has_payload;
    this->emit(
        now,
        tells_caller ? flow_event_kind::flow_reset
                     : flow_event_kind::owner_missing,
        flow, item.pending.empty() ? instance_id{} : item.pending.front(),
        result_code::unknown_flow_lost,
        static_cast<std::uint32_t>(item.absent.size() + item.pending.size()), 0,
        now - item.started);
    if (tells_caller)
    {
        this->output.reset_caller(flow, item.acknowledged);
    }
    this->look_ups.erase(flow);
}

void entry_flow_core::settle_owner(
    time_point now, const flow_ends& flow, instance_id owner, bool sure)
{
    const auto found = this->look_ups.find(flow);
    look_up item = std::move(found->second);
    this->look_ups.erase(found);
    directory_member* member = this->directory.find(owner);
    if (member == nullptr)
    {
        return;
    }
    flow_record& record = this->flows[flow];
    record = {};
    record.companion = owner;
    record.confirmed = sure;
    record.is_probe = !sure;
    record.known_since = now;
    record.last_packet = now;
    this->emit(
        now, flow_event_kind::owner_found, flow, owner, result_code::done,
        static_cast<std::uint32_t>(
            item.absent.size() + item.pending.size() + item.uncertain.size() +
            1),
        0, now - item.started);
    for (const bytes& packet : item.packets)
    {
        this->output.send_packet(member->record.packet_address, packet);
        if (!sure)
        {
            break;
        }
    }
}

void entry_flow_core::expire_look_ups(time_point now)
{
    std::vector<flow_ends> due;
    for (const auto& item : this->look_ups)
    {
        if (item.second.deadline <= now)
        {
            due.push_back(item.first);
        }
        else
        {
            this->arm(item.second.deadline);
        }
    }
    for (const flow_ends& flow : due)
    {
        this->finish_look_up(now, flow);
    }
}

void entry_flow_core::hint_owner(const flow_ends& flow, flow_record& record)
{
    record.is_hinted = true;
    const directory_member* owner = this->directory.find(record.companion);
    if (owner == nullptr)
    {
        return;
    }
    const owner_hint hint{flow, record.companion};
    for (const instance_id id :
         this->ranked_companions(owner->service, flow, hint_width))
    {
        if (id != record.companion)
        {
            this->output.send(id, hint);
        }
    }
}

} // namespace masticslip
