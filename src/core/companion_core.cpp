#include "masticslip/core/companion_core.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace masticslip
{

namespace
{

using namespace std::chrono_literals;

constexpr duration upstream_announcement_timeout = 2s;
/// Packets still arrive from entries that have not yet learned that this
/// companion left; they are forwarded during this time.
constexpr duration departure_grace_period = 700ms;
constexpr std::size_t max_deferred_packets = 256;

} // namespace

void companion_core::counting_output::send(
    instance_id to, const internal_message& message)
{
    this->target.send(to, message);
}

void companion_core::counting_output::send_to_upstream(byte_view datagram)
{
    this->last_packet = this->now;
    ++this->packets;
    this->target.send_to_upstream(datagram);
}

void companion_core::counting_output::send_datagram_to_upstream(
    const flow_key& flow, byte_view datagram)
{
    this->last_packet = this->now;
    ++this->packets;
    this->target.send_datagram_to_upstream(flow, datagram);
}

void companion_core::counting_output::close_datagram_flow(const flow_key& flow)
{
    this->target.close_datagram_flow(flow);
}

companion_core::companion_core(
    companion_settings settings,
    companion_output& output,
    event_sink& events,
    const coap_codec& codec)
    : output(output), context(std::move(settings), this->output, events, codec),
      ownership(this->context, *this), watches(this->context, this->ownership),
      retirement(this->context),
      requests(this->context, this->ownership, this->watches, this->retirement)
{
    this->context.configs.set_changed_handler(
        [this](time_point now) { this->on_configuration_changed(now); });
}

void companion_core::on_message(
    time_point now,
    const message_header& header,
    const internal_message& message)
{
    this->update_readiness(now);
    this->context.configs.on_header(now, header);
    incarnation& incarnation_number =
        this->context.peer_incarnations[header.sender];
    incarnation_number =
        std::max(incarnation_number, header.incarnation_number);
    std::visit(
        [&](const auto& body)
        {
            using type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<type, forward_message>)
            {
                this->on_forward(now, header, body);
            }
            else if constexpr (
                std::is_same_v<type, flow_query> ||
                std::is_same_v<type, flow_query_answer>)
            {
                this->ownership.on_message(now, header, body);
            }
            else if constexpr (
                std::is_same_v<type, config_request> ||
                std::is_same_v<type, config_push>)
            {
                this->context.configs.on_message(now, header, body);
            }
            else if constexpr (std::is_same_v<type, watch_handoff>)
            {
                this->requests.on_message(now, header, body);
            }
            else if constexpr (std::is_same_v<type, watch_handoff_ack>)
            {
                this->watches.on_message(now, header, body);
            }
            else if constexpr (std::is_same_v<type, retirement_message>)
            {
                this->retirement.on_message(now, header, body);
            }
            else if constexpr (std::is_same_v<type, retirement_ack>)
            {
                this->retirement.on_message(header, body);
            }
            else if constexpr (std::is_same_v<type, forward_ack>)
            {
                this->requests.on_message(body);
            }
            else if constexpr (std::is_same_v<type, heartbeat_answer>)
            {
                this->context.freeze.on_answer(body.heartbeat_sent);
                this->context.heartbeats.on_answer(now, header, body);
            }
        },
        message);
    this->process_deferred_packets(now);
}

bool companion_core::on_announcement(
    time_point now, const upstream_announcement& announcement)
{
    this->update_readiness(now);
    if (announcement.service != this->context.settings.service)
    {
        // An upstream of another service now uses this address.
        this->context.upstream_present = false;
        this->update_state(now);
        this->context.report(
            now, event_kind::packet_dropped, {},
            result_code::dropped_wrong_service);
        return false;
    }
    const bool was_present = this->context.upstream_present;
    if (was_present && announcement.epoch == this->former_epoch)
    {
        // Late: the upstream that replaced the sender announces itself.
        this->context.report(
            now, event_kind::packet_dropped, {}, result_code::dropped_stale);
        return true;
    }
    const bool restarted = announcement.epoch != this->context.upstream.epoch;
    if (restarted && this->last_announcement != time_point{})
    {
        this->former_epoch = this->context.upstream.epoch;
    }
    this->last_announcement = now;
    this->context.upstream = announcement;
    this->context.upstream_present = true;
    if (restarted)
    {
        this->context.limit->on_cold_start(now);
        this->requests.on_upstream_restarted(now);
    }
    if (restarted || !was_present)
    {
        core_event event;
        event.kind = event_kind::upstream_changed;
        event.detail = restarted ? "started" : "returned";
        this->context.events.on_event(now, event);
    }
    this->update_state(now);
    return true;
}

void companion_core::on_upstream_datagram(time_point now, byte_view datagram)
{
    this->update_readiness(now);
    const auto message = this->context.codec.decode(datagram);
    if (!message || message->is_request())
    {
        this->context.report(
            now, event_kind::packet_dropped, {},
            result_code::dropped_malformed);
        return;
    }
    if (message->is_response())
    {
        this->requests.on_upstream_message(now, *message);
    }
}

void companion_core::on_flow_datagram(
    time_point now, const flow_key& flow, byte_view datagram)
{
    this->update_readiness(now);
    const detail::owned_flow* state = this->ownership.find(flow);
    if (state == nullptr)
    {
        return;
    }
    reply_message reply;
    reply.flow = flow;
    reply.payload = datagram;
    this->output.send(
        this->context.select_live_entry(flow, state->last_entry, 0), reply);
}

void companion_core::on_tick(time_point now)
{
    this->update_readiness(now);
    this->context.heartbeats.on_tick(now);
    this->check_upstream(now);
    this->process_deferred_packets(now);
    this->ownership.on_tick(now);
    this->requests.on_tick(now);
    this->watches.on_tick(now);
    this->retirement.on_tick(now);
    this->advance_drain(now);
}

void companion_core::advance_drain(time_point now)
{
    if (this->is_idle(now) && !this->retirement.is_started())
    {
        this->retirement.start(now, this->requests.record_store());
    }
    const bool retired = this->retirement.is_finished(now);
    if (retired && this->left_since == time_point{})
    {
        this->left_since = now;
        this->context.heartbeats.set_state(now, member_state::left);
        this->context.report(now, event_kind::drain_finished, {});
    }
}

void companion_core::start_drain(time_point now)
{
    this->context.stopping = true;
    this->update_state(now);
    this->context.report(now, event_kind::drain_started, {});
}

bool companion_core::is_drained(time_point now) const
{
    return this->left_since != time_point{} &&
           now - this->left_since >= departure_grace_period;
}

bool companion_core::is_idle(time_point now) const
{
    const auto& flows = this->ownership.flows();
    const bool transfers = std::any_of(
        flows.begin(), flows.end(),
        [now](const auto& item)
        { return item.second.block_transfer_until > now; });
    return this->context.stopping && !transfers &&
           this->requests.in_progress() == 0 && this->watches.size() == 0;
}

void companion_core::terminate_all(time_point now)
{
    this->requests.terminate_all(now, result_code::unknown_stopping);
    this->watches.terminate_all(now, result_code::watch_ended_stopping);
    this->ownership.terminate_all();
}

companion_status companion_core::status() const
{
    companion_status result;
    result.flows = this->ownership.flows().size();
    result.redirects = this->ownership.redirect_count();
    result.watches = this->watches.size();
    result.requests_in_progress = this->requests.in_progress();
    result.records = this->requests.record_store().size();
    result.in_flight = this->context.in_flight;
    result.limit = this->context.limit->limit();
    result.upstream_present = this->context.upstream_present;
    result.withdrawn = this->context.is_withdrawn();
    result.draining = this->context.stopping || this->context.upstream.draining;
    result.last_upstream_packet = this->output.last_packet;
    result.upstream_packets = this->output.packets;
    return result;
}

void companion_core::on_owned_packet(
    time_point now, const forward_message& message)
{
    const auto& current = this->context.configs.current();
    const auto* service =
        current ? current->find_service(message.flow.service) : nullptr;
    if (service == nullptr)
    {
        this->context.report(
            now, event_kind::packet_dropped, message.flow,
            result_code::not_run_no_configuration);
        return;
    }
    if (service->protocol == service_protocol::coap)
    {
        this->on_coap_packet(now, message);
        return;
    }
    const bool deliverable =
        this->context.upstream_present && !this->context.is_withdrawn();
    if (deliverable)
    {
        this->output.send_datagram_to_upstream(message.flow, message.payload);
    }
}

void companion_core::on_forward(
    time_point now,
    const message_header& header,
    const forward_message& message)
{
    if (message.flow.service != this->context.service)
    {
        this->context.report(
            now, event_kind::packet_dropped, message.flow,
            result_code::dropped_wrong_service, header.sender);
        return;
    }
    if (!this->update_readiness(now))
    {
        if (this->deferred.size() < max_deferred_packets)
        {
            this->deferred.emplace_back(message);
        }
        return;
    }
    const bool wants_ack = message.sequence != 0;
    if (wants_ack)
    {
        this->output.send(header.sender, forward_ack{message.sequence});
    }
    forward_message accepted = message;
    accepted.sequence = 0;
    this->ownership.on_packet(now, accepted);
}

void companion_core::on_coap_packet(
    time_point now, const forward_message& message)
{
    const auto decoded = this->context.codec.decode(message.payload);
    if (!decoded || decoded->is_response())
    {
        this->context.report(
            now, event_kind::packet_dropped, message.flow,
            result_code::dropped_malformed);
        return;
    }
    if (decoded->is_request())
    {
        this->requests.on_request(now, message, *decoded);
        return;
    }
    this->on_empty_message(now, message, *decoded);
}

void companion_core::on_empty_message(
    time_point now, const forward_message& message, const coap_message& decoded)
{
    const bool is_reset = decoded.type == coap_type::reset;
    const bool known =
        is_reset ? this->watches.on_reset(now, message.flow, decoded.message_id)
                 : this->watches.on_acknowledgement(
                       message.flow, decoded.message_id);
    const detail::owned_flow* flow = this->ownership.find(message.flow);
    const bool relays_to_sibling =
        flow != nullptr && flow->delegate != instance_id{} && !known;
    if (relays_to_sibling)
    {
        this->ownership.relay(
            now, message, flow->delegate, forward_mode::owner);
    }
}

bool companion_core::update_readiness(time_point now)
{
    this->output.now = now;
    if (this->context.freeze.observe(now))
    {
        this->context.report(now, event_kind::freeze_detected, {});
        this->context.heartbeats.send_now(now);
    }
    return !this->context.freeze.is_stale(now) &&
           this->context.configs.is_up_to_date(now);
}

void companion_core::process_deferred_packets(time_point now)
{
    if (this->deferred.empty() || !this->update_readiness(now))
    {
        return;
    }
    const auto packets = std::exchange(this->deferred, {});
    for (const auto& packet : packets)
    {
        forward_message message = packet.message();
        message.sequence = 0;
        this->ownership.on_packet(now, message);
    }
}

void companion_core::on_configuration_changed(time_point now)
{
    const auto& current = *this->context.configs.current();
    this->context.limit->set_maximum(
        current.active_preset().limits.max_in_flight);
    const bool withdrawn = this->context.is_withdrawn();
    if (withdrawn && !this->was_withdrawn)
    {
        this->requests.terminate_all(
            now, result_code::unknown_domain_withdrawn);
        this->watches.terminate_all(
            now, result_code::watch_ended_domain_withdrawn);
        const std::size_t flows = this->ownership.terminate_all();
        core_event event;
        event.kind = event_kind::flow_given_up;
        event.code = result_code::watch_ended_domain_withdrawn;
        event.number = flows;
        this->context.events.on_event(now, event);
    }
    if (!withdrawn && this->was_withdrawn)
    {
        this->context.limit->on_cold_start(now);
    }
    this->was_withdrawn = withdrawn;
    this->update_state(now);
}

void companion_core::update_state(time_point now)
{
    if (this->left_since != time_point{})
    {
        return;
    }
    const bool serving = this->context.upstream_present &&
                         !this->context.upstream.draining &&
                         !this->context.stopping;
    this->context.heartbeats.set_state(
        now, serving ? member_state::serving : member_state::draining);
}

void companion_core::check_upstream(time_point now)
{
    const bool lost =
        this->context.upstream_present &&
        now - this->last_announcement > upstream_announcement_timeout;
    if (lost)
    {
        this->context.upstream_present = false;
        core_event event;
        event.kind = event_kind::upstream_changed;
        event.detail = "lost";
        this->context.events.on_event(now, event);
        this->update_state(now);
    }
}

} // namespace masticslip
