#include "masticslip/core/entry_core.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace masticslip
{

namespace
{

using namespace std::chrono_literals;

constexpr duration freeze_limit = 1s;
constexpr duration stale_timeout = 5s;
constexpr duration acknowledge_timeout = 30ms;
constexpr std::size_t max_pending = 4096;
constexpr std::size_t store_watcher_count = 2;
constexpr std::chrono::seconds refusal_retry_after = 2s;
/// Key by which all entries rank the store's watchers: any fixed value, here
/// `store` in ASCII.
constexpr std::uint64_t store_watcher_hash = 0x73746f7265;

member_record make_self(const entry_settings& settings)
{
    member_record self;
    self.id = settings.self;
    self.incarnation_number = settings.incarnation_number;
    self.version = 1;
    self.role = member_role::entry;
    self.admin = settings.admin;
    self.failure_domain = settings.failure_domain;
    self.name = settings.name;
    return self;
}

} // namespace

entry_core::entry_core(
    entry_settings settings, entry_output& output, event_sink& events)
    : settings(std::move(settings)), output(output), events(events),
      configs(output, events),
      heartbeats(output, make_self(this->settings), this->settings.seeds),
      membership(
          output, events, this->settings.self, this->settings.random_seed),
      freeze(freeze_limit, stale_timeout), owners(this->settings.cache_capacity)
{
    this->membership.announce_self({}, this->heartbeats.self());
    this->membership.set_usable_filter([this](const member_record& record)
                                       { return !this->is_withdrawn(record); });
    this->membership.set_own_record_handler(
        [this](time_point now, const member_record& reported)
        {
            if (this->heartbeats.refute(now, reported))
            {
                this->membership.announce_self(now, this->heartbeats.self());
            }
        });
    this->configs.set_changed_handler([this](time_point)
                                      { this->on_configuration_changed(); });
}

void entry_core::on_caller_packet(
    time_point now,
    const flow_key& flow,
    byte_view payload,
    const trace_context& trace)
{
    if (!this->update_readiness(now))
    {
        this->drop(now, flow, result_code::dropped_stale);
        return;
    }
    this->refresh_routes();
    if (!this->known_services.contains(flow.service))
    {
        this->drop(now, flow, result_code::not_run_no_configuration);
        return;
    }
    forward_message message;
    message.flow = flow;
    message.entry = this->settings.self;
    message.trace = trace;
    message.payload = payload;
    const instance_id owner = this->owners.find(flow);
    if (owner != instance_id{} && this->is_usable_owner(owner))
    {
        message.mode = forward_mode::owner;
        this->send_forward(now, owner, message);
        return;
    }
    this->send_look_up(now, message, payload);
}

void entry_core::on_message(
    time_point now,
    const message_header& header,
    const internal_message& message)
{
    this->update_readiness(now);
    this->configs.on_header(now, header);
    std::visit(
        [&](const auto& body)
        {
            using type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<type, reply_message>)
            {
                this->handle_reply(now, header, body);
            }
            else if constexpr (std::is_same_v<type, forward_ack>)
            {
                this->pending.erase(body.sequence);
            }
            else if constexpr (
                std::is_same_v<type, config_request> ||
                std::is_same_v<type, config_push>)
            {
                this->configs.on_message(now, header, body);
            }
            else if constexpr (
                std::is_same_v<type, heartbeat> ||
                std::is_same_v<type, gossip_message> ||
                std::is_same_v<type, digest_message>)
            {
                this->membership.on_message(now, header, body);
            }
            else if constexpr (std::is_same_v<type, heartbeat_answer>)
            {
                this->freeze.on_answer(body.heartbeat_sent);
                if (this->heartbeats.on_answer(now, header, body))
                {
                    this->membership.announce_self(
                        now, this->heartbeats.self());
                }
            }
        },
        message);
}

void entry_core::on_tick(time_point now)
{
    this->update_readiness(now);
    this->heartbeats.on_tick(now);
    this->membership.on_tick(now);
    this->retry_pending(now);
}

bool entry_core::offer_configuration(
    time_point now, std::string_view document, failure_reason& reason)
{
    return this->configs.offer(now, document, reason);
}

void entry_core::start_drain(time_point now)
{
    this->heartbeats.set_state(now, member_state::draining);
    this->membership.announce_self(now, this->heartbeats.self());
    core_event event;
    event.kind = event_kind::drain_started;
    this->events.on_event(now, event);
}

bool entry_core::is_store_watcher() const
{
    std::vector<weighted_instance> candidates;
    for (const instance_id id : this->members().entries())
    {
        candidates.push_back({id, 1});
    }
    const auto chosen =
        rank_candidates(store_watcher_hash, candidates, store_watcher_count);
    return std::find(chosen.begin(), chosen.end(), this->settings.self) !=
           chosen.end();
}

bool entry_core::update_readiness(time_point now)
{
    if (!this->has_joined)
    {
        this->has_joined = true;
        this->membership.join(now, this->settings.seeds);
    }
    if (this->freeze.observe(now))
    {
        core_event event;
        event.kind = event_kind::freeze_detected;
        this->events.on_event(now, event);
        this->membership.reset_silence_timers(now);
        this->heartbeats.send_now(now);
    }
    // Without other entries nobody can confirm the state after a freeze.
    const bool has_no_peers = this->members().entries().size() <= 1;
    if (!this->membership.is_synchronized(now))
    {
        return false;
    }
    return (has_no_peers || !this->freeze.is_stale(now)) &&
           this->configs.is_up_to_date(now);
}

bool entry_core::is_usable_owner(instance_id owner)
{
    this->refresh_routes();
    const auto found = this->routes.find(owner);
    return found != this->routes.end() && found->second.usable;
}

void entry_core::refresh_routes()
{
    const bool current = this->routes_revision == this->members().revision() &&
                         this->routes_generation == this->configs.number();
    if (current)
    {
        return;
    }
    this->routes_revision = this->members().revision();
    this->routes_generation = this->configs.number();
    this->routes.clear();
    for (const auto& [id, record] : this->members().all())
    {
        const bool present = record.state == member_state::serving ||
                             record.state == member_state::draining;
        companion_route& route = this->routes[id];
        route.usable = present && !this->is_withdrawn(record);
        route.traffic = &this->domain_packets[record.failure_domain];
    }
    this->known_services.clear();
    if (this->configs.current())
    {
        for (const auto& service : this->configs.current()->services)
        {
            this->known_services.insert(make_service_id(service.name));
        }
    }
}

bool entry_core::is_withdrawn(const member_record& record) const
{
    const auto& current = this->configs.current();
    return current && current->is_withdrawn(record.failure_domain);
}

const entry_core::service_view& entry_core::view_of(service_id service)
{
    service_view& view = this->views[service];
    const auto revision = this->members().revision();
    if (view.revision == revision && view.number == this->configs.number())
    {
        return view;
    }
    view = {revision, this->configs.number(), {}, {}};
    const preset& active = this->configs.current()->active_preset();
    for (const instance_id id : this->members().companions_of(service))
    {
        const member_record& record = *this->members().find(id);
        if (this->is_withdrawn(record))
        {
            continue;
        }
        const auto weight = active.weights.find(record.failure_domain);
        const std::uint32_t share =
            weight == active.weights.end() ? 1 : weight->second;
        const bool takes_work =
            record.state == member_state::serving && share > 0;
        auto& list = takes_work ? view.serving : view.fallback;
        list.push_back({id, std::max(share, 1U)});
    }
    return view;
}

candidate_list entry_core::candidates_for(const flow_key& flow)
{
    const service_view& view = this->view_of(flow.service);
    const std::uint64_t key = hash_flow(flow);
    candidate_list result;
    for (const instance_id id :
         rank_candidates(key, view.serving, max_candidates))
    {
        result.add(id);
    }
    for (const instance_id id :
         rank_candidates(key, view.fallback, max_candidates))
    {
        result.add(id);
    }
    return result;
}

void entry_core::send_look_up(
    time_point now, forward_message& message, byte_view payload)
{
    message.mode = forward_mode::look_up;
    message.candidates = this->candidates_for(message.flow);
    if (message.candidates.count == 0)
    {
        this->output.refuse_caller(
            message.flow, payload, result_code::not_run_no_upstream,
            refusal_retry_after);
        core_event event;
        event.kind = event_kind::request_refused;
        event.code = result_code::not_run_no_upstream;
        event.flow = message.flow;
        this->events.on_event(now, event);
        return;
    }
    if (this->pending.size() < max_pending)
    {
        message.sequence = this->next_sequence++;
        pending_packet& queued = this->pending[message.sequence];
        queued.message = message;
        queued.payload.assign(payload.begin(), payload.end());
        queued.retry_at = now + acknowledge_timeout;
    }
    this->send_forward(now, message.candidates.ids[0], message);
}

void entry_core::send_forward(
    time_point now, instance_id to, const forward_message& message)
{
    this->output.send(to, message);
    const auto route = this->routes.find(to);
    if (route != this->routes.end())
    {
        route->second.traffic->last_packet = now;
        ++route->second.traffic->packets;
    }
    core_event event;
    event.kind = event_kind::packet_forwarded;
    event.flow = message.flow;
    event.peer = to;
    event.trace = message.trace;
    this->events.on_event(now, event);
}

void entry_core::retry_pending(time_point now)
{
    for (auto item = this->pending.begin(); item != this->pending.end();)
    {
        pending_packet& queued = item->second;
        if (now < queued.retry_at)
        {
            ++item;
            continue;
        }
        const auto candidates = queued.message.candidates.view();
        if (queued.next_candidate >= candidates.size())
        {
            item = this->pending.erase(item);
            continue;
        }
        const instance_id target = candidates[queued.next_candidate++];
        if (!this->is_usable_owner(target))
        {
            continue;
        }
        queued.retry_at = now + acknowledge_timeout;
        queued.message.payload = queued.payload;
        this->send_forward(now, target, queued.message);
        core_event event;
        event.kind = event_kind::packet_retried;
        event.flow = queued.message.flow;
        event.peer = target;
        this->events.on_event(now, event);
        ++item;
    }
}

void entry_core::handle_reply(
    time_point now, const message_header& header, const reply_message& message)
{
    if (message.from_owner)
    {
        this->owners.store(message.flow, header.sender);
    }
    this->output.send_to_caller(message.flow, message.payload);
    core_event event;
    event.kind = event_kind::reply_delivered;
    event.flow = message.flow;
    event.peer = header.sender;
    event.trace = message.trace;
    this->events.on_event(now, event);
}

void entry_core::drop(time_point now, const flow_key& flow, result_code code)
{
    core_event event;
    event.kind = event_kind::packet_dropped;
    event.code = code;
    event.flow = flow;
    this->events.on_event(now, event);
}

void entry_core::on_configuration_changed()
{
    this->output.on_configuration(*this->configs.current());
    this->membership.notify_peers();
    for (const auto& [id, record] : this->members().all())
    {
        const bool is_watched =
            record.role == member_role::companion &&
            record.state != member_state::left &&
            detail::is_watcher(
                this->settings.self, id, this->members().entries());
        if (is_watched)
        {
            // The header of an empty message announces the generation.
            this->output.send(id, gossip_message{});
        }
    }
}

} // namespace masticslip
