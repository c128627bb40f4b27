#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/core/rendezvous.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// Companions among which a flow is placed, and that are asked at once in a
/// look-up.
constexpr std::size_t look_up_width = 64;
/// Companions by rank that are told the owner of a flow, and are asked first.
constexpr std::size_t hint_width = 3;
/// Flows that are open for this long are worth a hint: most of those with one
/// request have ended.
constexpr std::chrono::seconds hint_after{1};
/// Wait for the first companions' answers before all others are asked.
constexpr std::chrono::milliseconds hint_timeout{30};
/// Times that a look-up asks the next companions. New members move others to
/// lower ranks, so an owner may be beyond the first.
constexpr std::size_t max_waves = 4;
/// Companions that may be tried for one opening packet.
constexpr std::size_t max_attempts = 6;
/// Wait for a companion's answer to an opening packet. Half of the time after
/// which callers send a copy, so that another one is tried before that.
constexpr std::chrono::milliseconds open_timeout{100};
/// A caller gives up an opening 1.4 s after the first packet.
constexpr std::chrono::milliseconds opening_limit{1'500};
/// Wait for answers to a look-up; below the callers' first retransmission.
constexpr std::chrono::milliseconds look_up_timeout{100};
/// While a companion learns from its upstream whether it holds a flow, one
/// packet in this time is passed on: wrong upstreams should see few.
constexpr std::chrono::milliseconds probe_interval{100};
/// Packets of one flow that are held during a look-up: a caller's window.
constexpr std::size_t max_held_packets = 16;
/// Look-ups that hold packets at the same time.
constexpr std::size_t max_look_ups = 2'000;
/// Interval of greetings to each companion in a small fleet.
constexpr std::chrono::milliseconds greet_interval{250};
/// Added to the interval for each companion, to bound an entry's rate.
constexpr std::chrono::milliseconds greet_interval_per_member{5};
/// Greetings without an answer after which a companion is silent.
constexpr int silent_greetings = 4;
/// Openings without an answer after which a companion is avoided.
constexpr std::uint32_t suspect_openings = 1;
/// Companions that are neither listed nor heard are forgotten after this.
constexpr std::chrono::seconds member_memory{30};
/// A closing flow is remembered for late packets.
constexpr std::chrono::seconds closing_limit{5};
constexpr std::chrono::seconds default_idle_limit{15};
constexpr std::chrono::milliseconds sweep_interval{500};
/// Difference of load, in requests for each slot, at which a flow goes to
/// another failure domain. Uploads carry some forty times the bytes of others.
constexpr double remote_cost = 0.1;
constexpr double remote_upload_cost = 1.0;
/// A companion that has not been heard for this long is lost: longer than a
/// restart, which takes half a second, and a greeting.
constexpr std::chrono::milliseconds lost_after{1'500};
/// Greetings without an answer before that, in a large fleet.
constexpr int lost_greetings = 5;
/// While an opening waits for room, it is tried again at this interval.
constexpr std::chrono::milliseconds wait_interval{20};
/// A load that shows no room is believed for this long while openings wait.
constexpr std::chrono::milliseconds full_view_limit{50};
/// Share of a route's time limit that an opening may wait for room, so that an
/// answer still comes in time or the caller can turn to something else.
constexpr double wait_share = 0.4;
/// Time limit of routes that state none.
constexpr std::chrono::milliseconds default_time_limit{1'000};

bool contains(const std::vector<instance_id>& ids, instance_id id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// What was full some time ago may have room for one flow.
void assume_room(placement_candidate& candidate)
{
    upstream_load& load = candidate.load;
    if (load.refusal == result_code::not_run_overloaded)
    {
        load.refusal = result_code::done;
    }
    if (load.cold_room <= candidate.own_placements)
    {
        load.cold_room = candidate.own_placements + 1;
    }
}

void remove(std::vector<instance_id>& ids, instance_id id)
{
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

} // namespace

entry_flow_core::entry_flow_core(
    entry_flow_settings values,
    entry_flow_output& output,
    flow_event_sink& events)
    : settings(std::move(values)), output(output), events(events),
      policy_in_force(std::make_shared<policy>())
{
}

void entry_flow_core::on_policy(
    time_point now, std::shared_ptr<const policy> value)
{
    if (value->revision() <= this->policy_in_force->revision())
    {
        return;
    }
    this->policy_in_force = std::move(value);
    this->emit(
        now, flow_event_kind::policy_in_force, {}, {}, result_code::done);
    this->greet_all(now);
}

void entry_flow_core::on_listed(time_point now, const companion_record& record)
{
    if (this->directory.on_listed(now, record))
    {
        this->emit(
            now, flow_event_kind::member_joined, {}, record.id,
            result_code::done);
        this->greet(now, *this->directory.find(record.id));
    }
}

void entry_flow_core::on_unlisted(time_point now, instance_id id)
{
    this->directory.on_unlisted(id);
    if (directory_member* member = this->directory.find(id))
    {
        this->greet(now, *member);
    }
}

void entry_flow_core::on_caller_packet(
    time_point now, const flow_packet& packet)
{
    if (!this->policy_in_force->is_known())
    {
        return;
    }
    if (this->policy_in_force->find_route(packet.flow.target) == nullptr)
    {
        this->flows.erase(packet.flow);
        if (!packet.flags.resets)
        {
            this->emit(
                now, flow_event_kind::flow_rejected, packet.flow, {},
                result_code::not_run_no_route);
            this->output.reset_caller(packet.flow, packet.acknowledged);
        }
        return;
    }
    if (packet.is_opening())
    {
        this->on_opening(now, packet);
        return;
    }
    const auto found = this->flows.find(packet.flow);
    if (found == this->flows.end())
    {
        this->start_look_up(now, packet, std::nullopt);
        return;
    }
    this->forward(now, found->second, packet);
}

void entry_flow_core::forward(
    time_point now, flow_record& flow, const flow_packet& packet)
{
    directory_member* member = this->directory.find(flow.companion);
    if (member == nullptr)
    {
        this->flows.erase(packet.flow);
        this->start_look_up(now, packet, std::nullopt);
        return;
    }
    // A companion that stops after its upstream's departure takes no flow
    // along.
    const bool is_gone = member->has_left && member->is_stopping;
    const bool is_given_up =
        this->is_lost(now, *member) && this->may_repeat(packet.flow);
    if (packet.payload_size > 0 && (is_gone || is_given_up))
    {
        this->emit(
            now, flow_event_kind::flow_reset, packet.flow, flow.companion,
            result_code::unknown_companion_gone);
        this->output.reset_caller(packet.flow, packet.acknowledged);
        this->flows.erase(packet.flow);
        return;
    }
    if (flow.is_probe && now - flow.last_packet < probe_interval)
    {
        return;
    }
    flow.last_packet = now;
    flow.closing = flow.closing || packet.flags.closes || packet.flags.resets;
    this->output.send_packet(member->record.packet_address, packet.raw);
}

bool entry_flow_core::is_lost(
    time_point now, const directory_member& member) const
{
    const time_point since = std::max(member.heard, member.known_since);
    const duration limit = std::max(
        duration(lost_after), this->greeting_interval() * lost_greetings);
    // An entry that hears nobody is cut off itself and tells nothing.
    return now - since > limit && now - this->last_heard <= limit;
}

duration entry_flow_core::greeting_interval() const
{
    return greet_interval +
           greet_interval_per_member * static_cast<int>(this->directory.size());
}

bool entry_flow_core::may_repeat(const flow_ends& flow) const
{
    const route_definition* route =
        this->policy_in_force->find_route(flow.target);
    return route != nullptr && route->kind == request_kind::safe;
}

void entry_flow_core::on_opening(time_point now, const flow_packet& packet)
{
    const auto known = this->flows.find(packet.flow);
    if (known != this->flows.end() && known->second.confirmed &&
        !known->second.closing)
    {
        this->forward(now, known->second, packet);
        return;
    }
    const auto pending = this->openings.find(packet.flow);
    if (pending != this->openings.end())
    {
        // A copy: the attempt in progress goes on by its own times.
        return;
    }
    opening item;
    item.packet.assign(packet.raw.begin(), packet.raw.end());
    item.acknowledged = packet.acknowledged;
    item.first_seen = now;
    const auto created = this->openings.emplace(packet.flow, std::move(item));
    this->place(now, packet.flow, created.first->second);
}

std::vector<instance_id> entry_flow_core::ranked_companions(
    service_id service, const flow_ends& flow, std::size_t count) const
{
    const auto& ids = this->directory.of_service(service);
    if (ids.size() <= count)
    {
        return ids;
    }
    std::vector<weighted_instance> members;
    members.reserve(ids.size());
    for (const instance_id id : ids)
    {
        members.push_back({id, 1});
    }
    return rank_candidates(hash_flow_ends(flow), members, count);
}

std::vector<placement_candidate> entry_flow_core::candidates_for(
    time_point now, const flow_ends& flow, const opening& item)
{
    const route_definition* route =
        this->policy_in_force->find_route(flow.target);
    std::vector<placement_candidate> result;
    if (route == nullptr)
    {
        return result;
    }
    const auto ids = this->ranked_companions(
        make_service_id(route->service), flow, look_up_width);
    result.reserve(ids.size());
    for (const instance_id id : ids)
    {
        const directory_member& member = *this->directory.find(id);
        const auto& domain = member.record.failure_domain;
        const bool is_usable =
            !member.is_stopping && !member.has_left && !member.is_silent &&
            member.heard != time_point{} && !contains(item.tried, id) &&
            !this->policy_in_force->value().is_withdrawn(domain);
        if (!is_usable)
        {
            continue;
        }
        placement_candidate candidate{
            id, member.load, member.own_placements,
            domain != this->settings.failure_domain,
            member.unanswered >= suspect_openings};
        if (item.is_waiting && now - member.heard > full_view_limit)
        {
            assume_room(candidate);
        }
        result.push_back(candidate);
    }
    return result;
}

void entry_flow_core::place(
    time_point now, const flow_ends& flow, opening& item)
{
    const auto candidates = this->candidates_for(now, flow, item);
    const route_definition* route =
        this->policy_in_force->find_route(flow.target);
    const bool is_upload =
        route != nullptr && route->kind == request_kind::upload;
    const placement_request request{
        hash_flow_ends(flow), is_upload ? remote_upload_cost : remote_cost};
    const auto chosen = item.tried.size() < max_attempts
                            ? choose_candidate(candidates, request)
                            : std::nullopt;
    if (!chosen && this->may_wait(now, flow, item))
    {
        item.is_waiting = true;
        item.tried.clear();
        item.deadline = now + wait_interval;
        return;
    }
    if (!chosen)
    {
        this->reject(now, flow, item);
        return;
    }
    item.is_waiting = false;
    const instance_id id = candidates[*chosen].id;
    directory_member& member = *this->directory.find(id);
    ++member.own_placements;
    const auto kind = item.tried.empty() ? flow_event_kind::flow_placed
                                         : flow_event_kind::flow_moved;
    this->emit(
        now, kind, flow, id,
        item.tried.empty() ? result_code::done : item.last_refusal,
        static_cast<std::uint32_t>(candidates.size()),
        static_cast<std::uint32_t>(item.tried.size()));
    item.tried.push_back(id);
    item.deadline = now + open_timeout;
    flow_record& record = this->flows[flow];
    record = {};
    record.companion = id;
    record.last_packet = now;
    this->output.send_packet(member.record.packet_address, item.packet);
}

bool entry_flow_core::may_wait(
    time_point now, const flow_ends& flow, const opening& item) const
{
    const route_definition* route =
        this->policy_in_force->find_route(flow.target);
    if (route == nullptr)
    {
        return false;
    }
    const auto time_limit =
        route->time_limit.count() == 0 ? default_time_limit : route->time_limit;
    if (now - item.first_seen >= time_limit * wait_share)
    {
        return false;
    }
    const auto& ids =
        this->directory.of_service(make_service_id(route->service));
    return std::any_of(
        ids.begin(), ids.end(),
        [this, now](instance_id id)
        {
            const directory_member& member = *this->directory.find(id);
            const auto& domain = member.record.failure_domain;
            const bool leaves =
                member.has_left ||
                member.load.refusal == result_code::not_run_upstream_leaving;
            return !leaves && !this->is_lost(now, member) &&
                   !this->policy_in_force->value().is_withdrawn(domain);
        });
}

void entry_flow_core::reject(
    time_point now, const flow_ends& flow, opening& item)
{
    // A companion that has not answered may have opened the flow, and a copy
    // may belong to a flow that another entry placed: no reset then.
    const bool is_certain = item.unanswered == 0 && item.acknowledged == 0;
    this->emit(
        now,
        is_certain ? flow_event_kind::flow_rejected
                   : flow_event_kind::packet_dropped,
        flow, {}, item.last_refusal, 0,
        static_cast<std::uint32_t>(item.tried.size()), now - item.first_seen);
    if (is_certain)
    {
        this->output.reset_caller(flow, 0);
        this->flows.erase(flow);
    }
    this->openings.erase(flow);
}

void entry_flow_core::on_opened(
    time_point now, instance_id sender, const flow_opened& message)
{
    this->directory.on_load(now, sender, message.load);
    const auto pending = this->openings.find(message.flow);
    duration elapsed{};
    if (pending != this->openings.end())
    {
        elapsed = now - pending->second.first_seen;
        this->openings.erase(pending);
    }
    flow_record& flow = this->flows[message.flow];
    if (flow.confirmed && flow.companion != sender)
    {
        // Two upstreams were offered the flow; the caller decides, and the
        // companion of the other one returns the caller's packets.
        return;
    }
    flow.companion = sender;
    flow.confirmed = true;
    flow.known_since = now;
    flow.last_packet = now;
    this->emit(
        now, flow_event_kind::flow_opened, message.flow, sender,
        result_code::done, 0, 0, elapsed);
}

void entry_flow_core::on_refused(
    time_point now, instance_id sender, const flow_refused& message)
{
    this->directory.on_load(now, sender, message.load);
    const auto pending = this->openings.find(message.flow);
    if (pending == this->openings.end())
    {
        return;
    }
    opening& item = pending->second;
    if (!item.tried.empty() && item.tried.back() == sender)
    {
        item.last_refusal = message.reason;
        this->place(now, message.flow, item);
    }
    else if (contains(item.tried, sender) && item.unanswered > 0)
    {
        // The answer came after the next companion had been tried.
        --item.unanswered;
    }
}

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

void entry_flow_core::on_returned_packet(
    time_point now, instance_id sender, const flow_packet& packet)
{
    const auto found = this->flows.find(packet.flow);
    if (found != this->flows.end() && found->second.companion == sender)
    {
        this->flows.erase(found);
    }
    else if (found != this->flows.end())
    {
        this->forward(now, found->second, packet);
        return;
    }
    this->start_look_up(now, packet, sender);
}

void entry_flow_core::on_message(
    time_point now, instance_id sender, const flow_message& message)
{
    if (const auto* report = std::get_if<companion_report>(&message))
    {
        this->on_report(now, sender, *report);
    }
    else if (const auto* opened = std::get_if<flow_opened>(&message))
    {
        this->on_opened(now, sender, *opened);
    }
    else if (const auto* refused = std::get_if<flow_refused>(&message))
    {
        this->on_refused(now, sender, *refused);
    }
    else if (const auto* answer = std::get_if<owner_answer>(&message))
    {
        this->on_answer(now, sender, *answer);
    }
}

void entry_flow_core::on_report(
    time_point now, instance_id sender, const companion_report& message)
{
    const directory_member* known = this->directory.find(sender);
    const bool was_silent = known != nullptr && known->is_silent;
    this->last_heard = now;
    this->known_entries = message.entry_count;
    const bool is_new = this->directory.on_report(now, sender, message);
    this->heard_companion = true;
    if (is_new || was_silent)
    {
        this->emit(
            now,
            is_new ? flow_event_kind::member_joined
                   : flow_event_kind::member_returned,
            {}, sender, message.load.refusal);
    }
    if (message.policy_revision > this->policy_in_force->revision())
    {
        this->output.fetch_policy(sender);
    }
}

void entry_flow_core::greet(time_point now, directory_member& member)
{
    member.greeted = now;
    this->output.send(
        member.record.id,
        entry_hello{this->policy_in_force->revision(), member.is_listed});
}

void entry_flow_core::greet_all(time_point now)
{
    for (auto& [id, member] : this->directory.all())
    {
        this->greet(now, member);
    }
}

void entry_flow_core::on_tick(time_point now)
{
    this->expire_openings(now);
    this->expire_look_ups(now);
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
    if (now >= this->next_sweep)
    {
        this->next_sweep = now + sweep_interval;
        this->forget_flows(now);
        this->forget_members(now);
    }
}

std::optional<time_point> entry_flow_core::next_deadline() const
{
    std::optional<time_point> result;
    const auto consider = [&result](time_point value)
    {
        if (!result || value < *result)
        {
            result = value;
        }
    };
    for (const auto& item : this->openings)
    {
        consider(item.second.deadline);
    }
    for (const auto& item : this->look_ups)
    {
        consider(item.second.deadline);
    }
    return result;
}

void entry_flow_core::expire_openings(time_point now)
{
    std::vector<flow_ends> due;
    for (const auto& item : this->openings)
    {
        if (item.second.deadline <= now)
        {
            due.push_back(item.first);
        }
    }
    for (const flow_ends& flow : due)
    {
        opening& item = this->openings[flow];
        if (item.is_waiting)
        {
            this->place(now, flow, item);
            continue;
        }
        if (directory_member* member = this->directory.find(item.tried.back()))
        {
            ++member->unanswered;
        }
        ++item.unanswered;
        item.last_refusal = result_code::unknown_companion_gone;
        if (now - item.first_seen > opening_limit)
        {
            this->openings.erase(flow);
            continue;
        }
        this->place(now, flow, item);
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
    }
    for (const flow_ends& flow : due)
    {
        this->finish_look_up(now, flow);
    }
}

void entry_flow_core::forget_flows(time_point now)
{
    const auto idle = this->policy_in_force->idle_limit();
    const duration idle_limit =
        idle.count() == 0 ? duration(default_idle_limit) : duration(idle);
    for (auto item = this->flows.begin(); item != this->flows.end();)
    {
        const flow_record& flow = item->second;
        const duration limit =
            flow.closing ? duration(closing_limit) : idle_limit;
        const bool deserves_hint = flow.confirmed && !flow.is_hinted &&
                                   !flow.closing &&
                                   now - flow.known_since >= hint_after;
        if (deserves_hint)
        {
            this->hint_owner(item->first, item->second);
        }
        const bool is_excess =
            this->flows.size() > this->settings.max_flows && flow.closing;
        if (is_excess || now - flow.last_packet > limit)
        {
            this->flows.erase(item++);
        }
        else
        {
            ++item;
        }
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

bool entry_flow_core::is_ready() const
{
    return this->policy_in_force->is_known() && this->heard_companion;
}

void entry_flow_core::emit(
    time_point now,
    flow_event_kind kind,
    const flow_ends& flow,
    instance_id peer,
    result_code code,
    std::uint32_t candidates,
    std::uint32_t attempts,
    duration elapsed)
{
    flow_event event;
    event.kind = kind;
    event.code = code;
    event.flow = flow;
    event.peer = peer;
    event.policy_revision = this->policy_in_force->revision();
    if (const directory_member* member = this->directory.find(peer))
    {
        event.load = member->load;
        event.view_age =
            member->heard == time_point{} ? duration{} : now - member->heard;
    }
    event.candidates = candidates;
    event.attempts = attempts;
    event.elapsed = elapsed;
    this->events.on_event(now, event);
}

} // namespace masticslip
