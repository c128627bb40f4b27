#include "masticslip/core/detail/ownership_controller.hpp"

#include "masticslip/core/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration query_repeat_after = 20ms;
constexpr duration look_up_timeout = 60ms;
/// Ticks that are further apart show a stall of this process, during which
/// answers wait unread; only this much of it counts towards time-outs.
constexpr duration longest_step = 20ms;
constexpr duration redirect_lifetime = 10min;
constexpr duration expiry_interval = 1s;
constexpr std::size_t max_held_packets = 8;
constexpr std::size_t max_look_ups = 4096;
constexpr std::size_t max_redirects = 65'536;
constexpr std::uint8_t max_hops = 4;

} // namespace

void ownership_controller::on_packet(
    time_point now, const forward_message& message)
{
    owned_flow* known = this->find(message.flow);
    const bool deliver_here = known != nullptr ||
                              message.mode == forward_mode::transfer ||
                              message.mode == forward_mode::bound;
    if (deliver_here)
    {
        if (known != nullptr || message.moves_flow)
        {
            this->take_ownership(now, message.flow, message.entry);
        }
        this->receiver.on_owned_packet(now, message);
        return;
    }
    if (message.mode == forward_mode::create)
    {
        if (this->may_create(message))
        {
            this->take_ownership(now, message.flow, message.entry);
            this->receiver.on_owned_packet(now, message);
        }
        return;
    }
    // A packet that arrived through a redirect must not follow another one:
    // two stale redirects could form a forwarding loop.
    const bool came_over_redirect =
        message.mode == forward_mode::owner && message.hops > 0;
    const instance_id target = this->redirect_target(now, message);
    if (target != instance_id{} && !came_over_redirect)
    {
        this->relay(now, message, target, forward_mode::owner);
        return;
    }
    const auto previous = this->redirects.find(message.flow);
    const instance_id additional_candidate = previous == this->redirects.end()
                                                 ? instance_id{}
                                                 : previous->second.target;
    this->redirects.erase(message.flow);
    this->start_look_up(now, message, additional_candidate);
}

void ownership_controller::on_message(
    time_point, const message_header& header, const flow_query& query)
{
    flow_query_answer answer;
    answer.flow = query.flow;
    answer.query = query.query;
    answer.in_flight = this->context.in_flight;
    answer.limit = this->context.limit->limit();
    answer.flows = static_cast<std::uint32_t>(this->owned.size());
    answer.admits = this->context.admits();
    const auto redirected = this->redirects.find(query.flow);
    if (this->owned.contains(query.flow))
    {
        answer.ownership_status = flow_ownership_status::owned;
        answer.owner = this->context.settings.self;
    }
    else if (redirected != this->redirects.end())
    {
        answer.ownership_status = flow_ownership_status::redirected;
        answer.owner = redirected->second.target;
    }
    else if (this->look_ups.contains(query.flow))
    {
        answer.ownership_status = flow_ownership_status::looking_up;
    }
    this->context.output.send(header.sender, answer);
}

void ownership_controller::on_message(
    time_point now,
    const message_header& header,
    const flow_query_answer& answer)
{
    const auto found = this->look_ups.find(answer.flow);
    if (found == this->look_ups.end() || found->second.query != answer.query)
    {
        return;
    }
    look_up& state = found->second;
    if (answer.ownership_status == flow_ownership_status::owned)
    {
        this->resolve(now, answer.flow, header.sender, forward_mode::owner);
        return;
    }
    if (answer.ownership_status == flow_ownership_status::redirected)
    {
        this->query_additional(answer.flow, state, answer.owner);
    }
    // Of two look-ups of one flow, that of the higher-ranked companion
    // continues.
    const bool yields_to_sender =
        answer.ownership_status == flow_ownership_status::looking_up &&
        this->outranks_self(answer.flow, header.sender);
    if (yields_to_sender)
    {
        this->resolve(now, answer.flow, header.sender, forward_mode::look_up);
        return;
    }
    std::erase(state.unanswered, header.sender);
    for (auto& candidate : state.candidates)
    {
        if (candidate.id == header.sender)
        {
            candidate.in_flight = answer.in_flight;
            candidate.limit = answer.limit;
            candidate.flows = answer.flows;
            candidate.admits = answer.admits;
        }
    }
    if (state.unanswered.empty())
    {
        this->choose_owner(now, answer.flow);
    }
}

void ownership_controller::on_tick(time_point now)
{
    this->advance_look_ups(now);
    if (now >= this->next_expiry)
    {
        this->next_expiry = now + expiry_interval;
        this->expire_idle(now);
    }
}

void ownership_controller::advance_look_ups(time_point now)
{
    std::vector<flow_key> due;
    for (auto& [flow, state] : this->look_ups)
    {
        const time_point since = std::max(this->last_tick, state.started);
        state.waited += std::min(now - since, longest_step);
        if (state.waited >= look_up_timeout)
        {
            due.push_back(flow);
        }
        else if (!state.repeated && state.waited >= query_repeat_after)
        {
            state.repeated = true;
            this->send_queries(flow, state);
        }
    }
    this->last_tick = now;
    for (const flow_key& flow : due)
    {
        this->choose_owner(now, flow);
    }
}

owned_flow& ownership_controller::take_ownership(
    time_point now, const flow_key& flow, instance_id entry)
{
    this->redirects.erase(flow);
    const auto [position, is_new] = this->owned.try_emplace(flow);
    owned_flow& state = position->second;
    state.last_used = now;
    state.last_entry = entry;
    if (is_new)
    {
        const auto self = this->context.settings.self.value;
        const auto incarnation_number =
            this->context.settings.incarnation_number.value;
        const auto seed =
            hash_pair(hash_flow(flow), hash_pair(self, incarnation_number));
        state.next_message_id = static_cast<std::uint16_t>(seed);
        this->context.report(now, event_kind::flow_created, flow);
    }
    return state;
}

owned_flow* ownership_controller::find(const flow_key& flow)
{
    const auto found = this->owned.find(flow);
    return found == this->owned.end() ? nullptr : &found->second;
}

void ownership_controller::redirect(
    time_point now, const flow_key& flow, instance_id target)
{
    if (this->owned.erase(flow) > 0)
    {
        this->context.output.close_datagram_flow(flow);
    }
    if (this->redirects.size() < max_redirects)
    {
        this->redirects[flow] = {target, now + redirect_lifetime};
    }
}

std::size_t ownership_controller::terminate_all()
{
    const std::size_t count = this->owned.size();
    for (const auto& [flow, state] : this->owned)
    {
        this->context.output.close_datagram_flow(flow);
    }
    this->owned.clear();
    this->redirects.clear();
    this->look_ups.clear();
    return count;
}

void ownership_controller::relay(
    time_point now,
    const forward_message& message,
    instance_id target,
    forward_mode mode)
{
    if (message.hops >= max_hops)
    {
        this->context.report(
            now, event_kind::packet_dropped, message.flow,
            result_code::dropped_unknown_flow, target);
        return;
    }
    forward_message copy = message;
    copy.mode = mode;
    ++copy.hops;
    this->context.output.send(target, copy);
    core_event event;
    event.kind = event_kind::packet_relayed;
    event.flow = message.flow;
    event.peer = target;
    event.trace = message.trace;
    this->context.events.on_event(now, event);
}

instance_id ownership_controller::redirect_target(
    time_point now, const forward_message& message)
{
    const auto found = this->redirects.find(message.flow);
    if (found == this->redirects.end() || found->second.expires <= now)
    {
        return {};
    }
    const instance_id target = found->second.target;
    const auto& siblings = this->context.heartbeats.siblings();
    const bool present = message.candidates.contains(target) ||
                         std::any_of(
                             siblings.begin(), siblings.end(),
                             [target](const instance_incarnation& item)
                             { return item.id == target; });
    if (!present)
    {
        // The target left or takes no new work; a look-up determines which.
        return {};
    }
    found->second.expires = now + redirect_lifetime;
    return target;
}

void ownership_controller::start_look_up(
    time_point now,
    const forward_message& message,
    instance_id additional_candidate)
{
    const auto found = this->look_ups.find(message.flow);
    if (found != this->look_ups.end())
    {
        if (found->second.packets.size() < max_held_packets)
        {
            found->second.packets.emplace_back(message);
        }
        return;
    }
    if (this->look_ups.size() >= max_look_ups)
    {
        this->context.report(
            now, event_kind::packet_dropped, message.flow,
            result_code::not_run_overloaded);
        return;
    }
    look_up& state = this->look_ups[message.flow];
    state.query = this->next_query++;
    state.packets.emplace_back(message);
    state.started = now;
    const instance_id self = this->context.settings.self;
    for (const instance_id id : message.candidates.view())
    {
        state.candidates.push_back({id, 0, 1, 0, false});
    }
    for (const auto& sibling : this->context.heartbeats.siblings())
    {
        const bool named = message.candidates.contains(sibling.id);
        if (!named && state.candidates.size() < max_candidates)
        {
            state.candidates.push_back({sibling.id, 0, 1, 0, false});
        }
    }
    const bool listed = std::any_of(
        state.candidates.begin(), state.candidates.end(),
        [&](const candidate_load& item)
        { return item.id == additional_candidate; });
    if (additional_candidate != instance_id{} && !listed)
    {
        state.candidates.push_back({additional_candidate, 0, 1, 0, false});
    }
    for (const auto& candidate : state.candidates)
    {
        if (candidate.id != self)
        {
            state.unanswered.push_back(candidate.id);
        }
    }
    this->context.report(now, event_kind::flow_looked_up, message.flow);
    if (state.unanswered.empty())
    {
        this->choose_owner(now, message.flow);
        return;
    }
    this->send_queries(message.flow, state);
}

void ownership_controller::send_queries(
    const flow_key& flow, const look_up& state)
{
    for (const instance_id id : state.unanswered)
    {
        this->context.output.send(id, flow_query{flow, state.query});
    }
}

void ownership_controller::query_additional(
    const flow_key& flow, look_up& state, instance_id target)
{
    // A redirect may be stale: only the target can confirm that it owns the
    // flow.
    const bool asked = std::any_of(
        state.candidates.begin(), state.candidates.end(),
        [target](const candidate_load& item) { return item.id == target; });
    if (!asked && target != this->context.settings.self)
    {
        state.candidates.push_back({target, 0, 1, 0, false});
        state.unanswered.push_back(target);
        this->context.output.send(target, flow_query{flow, state.query});
    }
}

void ownership_controller::choose_owner(time_point now, const flow_key& flow)
{
    look_up& state = this->look_ups.at(flow);
    const instance_id self = this->context.settings.self;
    for (auto& candidate : state.candidates)
    {
        if (candidate.id == self)
        {
            candidate.in_flight = this->context.in_flight;
            candidate.limit = this->context.limit->limit();
            candidate.flows = static_cast<std::uint32_t>(this->owned.size());
            candidate.admits = this->context.admits();
        }
    }
    std::size_t width = 1;
    if (this->context.configs.current())
    {
        width = this->context.configs.current()->active_preset().choice_width;
    }
    const auto chosen = choose_upstream(state.candidates, width);
    this->resolve(now, flow, chosen.value_or(self), forward_mode::create);
}

void ownership_controller::resolve(
    time_point now, const flow_key& flow, instance_id owner, forward_mode mode)
{
    auto node = this->look_ups.extract(flow);
    if (owner == this->context.settings.self)
    {
        for (const auto& packet : node.mapped().packets)
        {
            forward_message message = packet.message();
            message.mode = forward_mode::create;
            this->on_packet(now, message);
        }
        return;
    }
    if (mode != forward_mode::look_up && this->redirects.size() < max_redirects)
    {
        this->redirects[flow] = {owner, now + redirect_lifetime};
        this->context.report(
            now, event_kind::flow_redirected, flow, result_code::done, owner);
    }
    for (const auto& packet : node.mapped().packets)
    {
        this->relay(now, packet.message(), owner, mode);
    }
}

bool ownership_controller::outranks_self(
    const flow_key& flow, instance_id other) const
{
    const std::uint64_t key = hash_flow(flow);
    const instance_id self = this->context.settings.self;
    return rendezvous_score(key, {other, 1}) > rendezvous_score(key, {self, 1});
}

bool ownership_controller::may_create(const forward_message& message) const
{
    const auto& current = this->context.configs.current();
    const auto* service =
        current ? current->find_service(message.flow.service) : nullptr;
    if (service == nullptr || service->protocol == service_protocol::datagram)
    {
        return service != nullptr;
    }
    const auto decoded = this->context.codec.decode(message.payload);
    // An acknowledgement or reset never creates a flow.
    return !decoded || decoded->is_request();
}

void ownership_controller::expire_idle(time_point now)
{
    const duration limit = this->context.settings.flow_idle_limit;
    boost::unordered::erase_if(
        this->owned,
        [&](const auto& item)
        {
            const owned_flow& state = item.second;
            const bool idle = state.watches == 0 && state.exchanges == 0 &&
                              now - state.last_used > limit;
            if (idle)
            {
                this->context.output.close_datagram_flow(item.first);
            }
            return idle;
        });
    boost::unordered::erase_if(
        this->redirects,
        [&](const auto& item) { return item.second.expires <= now; });
}

} // namespace masticslip::detail
