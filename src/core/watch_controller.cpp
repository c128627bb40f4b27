#include "masticslip/core/detail/watch_controller.hpp"

#include <algorithm>
#include <utility>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration ack_timeout = 2s;
constexpr std::uint32_t max_retransmissions = 4;
constexpr duration hand_over_interval = 200ms;
constexpr std::uint32_t observe_mask = 0xffffff;
constexpr std::size_t token_size = sizeof(exchange_id);

} // namespace

bytes make_upstream_token(exchange_id id)
{
    return {
        static_cast<std::uint8_t>(id >> 24U),
        static_cast<std::uint8_t>(id >> 16U),
        static_cast<std::uint8_t>(id >> 8U), static_cast<std::uint8_t>(id)};
}

exchange_id parse_upstream_token(const bytes& token)
{
    if (token.size() != token_size)
    {
        return 0;
    }
    exchange_id id = 0;
    for (const std::uint8_t octet : token)
    {
        id = (id << 8U) | octet;
    }
    return id;
}

std::uint32_t watch_controller::start(time_point now, watch_registration start)
{
    const auto previous = this->find(start.flow, start.request.token);
    if (previous != this->watches.end())
    {
        start.observe =
            std::max(start.observe, previous->second.origin.observe);
        this->cancel_at_upstream(previous->second);
        this->watches.erase(previous);
    }
    else
    {
        ++this->ownership.take_ownership(now, start.flow, start.entry).watches;
    }
    // A last notification of the former watch would end this one.
    this->ended.remove_if(
        [&start](const watch& item)
        {
            return item.origin.flow == start.flow &&
                   item.origin.request.token == start.request.token;
        });
    start.observe = (start.observe + 1) & observe_mask;
    this->context.report(now, event_kind::watch_started, start.flow);
    const std::uint32_t observe = start.observe;
    const exchange_id id = start.id;
    this->watches[id].origin = std::move(start);
    return observe;
}

void watch_controller::renew(exchange_id previous, exchange_id current)
{
    auto node = this->watches.extract(previous);
    if (!node.empty())
    {
        node.key() = current;
        node.mapped().origin.id = current;
        this->watches.insert(std::move(node));
    }
}

bool watch_controller::on_notification(
    time_point now, exchange_id id, const coap_message& notification)
{
    const auto position = this->watches.find(id);
    if (position == this->watches.end())
    {
        return false;
    }
    watch& item = position->second;
    const bool final =
        notification.find(coap_option_number::observe) == nullptr;
    coap_message message = notification;
    message.type = coap_type::confirmable;
    message.token = item.origin.request.token;
    if (!final)
    {
        item.origin.observe = (item.origin.observe + 1) & observe_mask;
        message.set_uint(coap_option_number::observe, item.origin.observe);
    }
    item.unacknowledged = std::move(message);
    item.attempts = 0;
    this->send(now, item);
    if (final)
    {
        this->end_unacknowledged(now, position, result_code::done);
    }
    return true;
}

bool watch_controller::on_acknowledgement(
    const flow_key& flow, std::uint16_t message_id)
{
    const auto position = this->find(flow, message_id);
    if (position == this->watches.end())
    {
        return this->forget_last(flow, message_id);
    }
    position->second.unacknowledged.reset();
    return true;
}

bool watch_controller::on_reset(
    time_point now, const flow_key& flow, std::uint16_t message_id)
{
    const auto position = this->find(flow, message_id);
    if (position == this->watches.end())
    {
        return this->forget_last(flow, message_id);
    }
    this->cancel_at_upstream(position->second);
    this->end(now, position, result_code::done);
    return true;
}

void watch_controller::cancel(
    time_point now, const flow_key& flow, const bytes& token)
{
    const auto position = this->find(flow, token);
    if (position != this->watches.end())
    {
        this->cancel_at_upstream(position->second);
        this->end(now, position, result_code::done);
    }
}

void watch_controller::on_tick(time_point now)
{
    this->retransmit_last(now);
    const bool leaving =
        this->context.stopping || this->context.upstream.draining;
    for (auto position = this->watches.begin();
         position != this->watches.end();)
    {
        const auto current = position++;
        watch& item = current->second;
        if (leaving && now >= item.hand_over_at)
        {
            this->hand_over(now, item);
        }
        if (!item.unacknowledged || now < item.retransmit_at)
        {
            continue;
        }
        if (item.attempts > max_retransmissions)
        {
            // The caller no longer acknowledges notifications.
            this->cancel_at_upstream(item);
            this->end(now, current, result_code::dropped_unknown_flow);
            continue;
        }
        this->send(now, item);
    }
}

void watch_controller::terminate_all(time_point now, result_code code)
{
    while (!this->watches.empty())
    {
        const auto position = this->watches.begin();
        watch& item = position->second;
        coap_message answer;
        answer.type = coap_type::confirmable;
        answer.code = coap_code::service_unavailable;
        answer.token = item.origin.request.token;
        answer.set_uint(
            coap_option_number::max_age,
            this->context.retry_after(now, item.origin.flow));
        const std::string_view name = to_string(code);
        answer.payload.assign(name.begin(), name.end());
        item.unacknowledged = std::move(answer);
        item.attempts = 0;
        this->send(now, item);
        this->cancel_at_upstream(item);
        this->end_unacknowledged(now, position, code);
    }
}

void watch_controller::on_message(
    time_point now,
    const message_header& header,
    const watch_handoff_ack& message)
{
    const auto position = this->watches.find(message.handoff_id);
    if (position == this->watches.end())
    {
        return;
    }
    const flow_key flow = position->second.origin.flow;
    this->context.report(
        now, event_kind::watch_handed_over, flow, result_code::done,
        header.sender);
    this->cancel_at_upstream(position->second);
    this->end(now, position, result_code::done);
    const owned_flow* state = this->ownership.find(flow);
    if (state != nullptr && state->watches == 0 && state->exchanges == 0)
    {
        this->ownership.redirect(now, flow, header.sender);
    }
}

bool watch_controller::holds(const flow_key& flow, const bytes& token)
{
    return this->find(flow, token) != this->watches.end();
}

std::vector<watch_registration> watch_controller::list() const
{
    std::vector<watch_registration> result;
    for (const auto& [id, item] : this->watches)
    {
        result.push_back(item.origin);
    }
    return result;
}

void watch_controller::send(time_point now, watch& item)
{
    owned_flow* flow = this->ownership.find(item.origin.flow);
    if (flow != nullptr && item.attempts == 0)
    {
        item.unacknowledged->message_id = flow->next_message_id++;
    }
    const instance_id last =
        flow != nullptr ? flow->last_entry : item.origin.entry;
    const instance_id entry =
        this->context.select_live_entry(item.origin.flow, last, item.attempts);
    this->context.send_to_caller(
        entry, item.origin.flow, {}, true, *item.unacknowledged);
    this->context.report(now, event_kind::notification_sent, item.origin.flow);
    item.retransmit_at = now + ack_timeout * (1U << item.attempts);
    ++item.attempts;
}

void watch_controller::end(
    time_point now, watch_map::iterator position, result_code code)
{
    const flow_key flow = position->second.origin.flow;
    owned_flow* state = this->ownership.find(flow);
    if (state != nullptr && state->watches > 0)
    {
        --state->watches;
    }
    this->watches.erase(position);
    this->context.report(now, event_kind::watch_ended, flow, code);
}

void watch_controller::end_unacknowledged(
    time_point now, watch_map::iterator position, result_code code)
{
    this->ended.push_back(position->second);
    this->end(now, position, code);
}

void watch_controller::retransmit_last(time_point now)
{
    for (auto item = this->ended.begin(); item != this->ended.end();)
    {
        if (now >= item->retransmit_at && item->attempts > max_retransmissions)
        {
            item = this->ended.erase(item);
            continue;
        }
        if (now >= item->retransmit_at)
        {
            this->send(now, *item);
        }
        ++item;
    }
}

bool watch_controller::forget_last(
    const flow_key& flow, std::uint16_t message_id)
{
    return this->ended.remove_if(
               [&](const watch& item)
               {
                   return item.origin.flow == flow &&
                          item.unacknowledged->message_id == message_id;
               }) != 0;
}

void watch_controller::cancel_at_upstream(const watch& item)
{
    coap_message cancel = item.origin.request;
    cancel.type = coap_type::non_confirmable;
    cancel.message_id = static_cast<std::uint16_t>(item.origin.id);
    cancel.token = make_upstream_token(item.origin.id);
    cancel.set_uint(coap_option_number::observe, 1);
    cancel.erase(coap_option_number::echo);
    this->context.output.send_to_upstream(this->context.codec.encode(cancel));
}

void watch_controller::hand_over(time_point now, watch& item)
{
    item.hand_over_at = now + hand_over_interval;
    // Every attempt goes to the same sibling: if a second one also accepted,
    // the caller would receive notifications from two sources.
    const auto sibling = this->context.select_sibling(
        item.origin.flow, this->context.settings.self);
    if (!sibling)
    {
        return;
    }
    watch_handoff message;
    message.handoff_id = item.origin.id;
    message.flow = item.origin.flow;
    const owned_flow* flow = this->ownership.find(item.origin.flow);
    message.entry = flow != nullptr ? flow->last_entry : item.origin.entry;
    message.message_id = flow != nullptr ? flow->next_message_id : 0;
    message.observe = item.origin.observe;
    message.request = this->context.codec.encode(item.origin.request);
    this->context.output.send(sibling->id, message);
}

watch_controller::watch_map::iterator
watch_controller::find(const flow_key& flow, const bytes& token)
{
    return std::find_if(
        this->watches.begin(), this->watches.end(),
        [&](const auto& entry)
        {
            return entry.second.origin.flow == flow &&
                   entry.second.origin.request.token == token;
        });
}

watch_controller::watch_map::iterator
watch_controller::find(const flow_key& flow, std::uint16_t message_id)
{
    return std::find_if(
        this->watches.begin(), this->watches.end(),
        [&](const auto& entry)
        {
            const auto& sent = entry.second.unacknowledged;
            return entry.second.origin.flow == flow && sent &&
                   sent->message_id == message_id;
        });
}

} // namespace masticslip::detail
