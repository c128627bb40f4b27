#include "masticslip/core/detail/request_controller.hpp"

#include <algorithm>
#include <utility>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration block_transfer_idle_limit = 60s;
constexpr std::size_t max_queued = 4096;

/// Identity of a request while it is in progress: flow and token.
request_key make_token_key(const flow_key& flow, const coap_message& request)
{
    return {flow, request.token};
}

bool has_more_blocks(const coap_message& response)
{
    const auto download = response.find_uint(coap_option_number::block2);
    return response.code == coap_code::continue_transfer ||
           (download && decode_block(*download).more);
}

} // namespace

request_controller::request_controller(
    companion_context& context,
    ownership_controller& ownership,
    watch_controller& watches,
    const retirement_controller& retirement)
    : context(context), ownership(ownership), watches(watches),
      retirement(retirement), answers(context, ownership),
      relay(
          ownership,
          [this](time_point now, const forward_message& message)
          { this->on_relay_failure(now, message); }),
      records(context.settings.record_capacity, context.settings.record_window),
      filters(make_request_filters(
          context, this->records, ownership, retirement, *this))
{
}

void request_controller::on_request(
    time_point now, const forward_message& message, const coap_message& request)
{
    if (this->retirement.is_started())
    {
        // Siblings may already respond that it was not executed here.
        this->relay_after_retirement(now, message);
        return;
    }
    if (request.find_uint(coap_option_number::observe) == 1U)
    {
        this->watches.cancel(now, message.flow, request.token);
    }
    const request_context item{
        now, message, request, make_request_key(message.flow, request)};
    for (const auto& filter : this->filters)
    {
        if (!filter->pass(item))
        {
            return;
        }
    }
    this->execute(item);
}

void request_controller::relay_after_retirement(
    time_point now, const forward_message& message)
{
    const auto sibling =
        this->context.select_sibling(message.flow, this->context.settings.self);
    if (sibling)
    {
        this->ownership.relay(now, message, sibling->id, forward_mode::look_up);
    }
}

void request_controller::execute(const request_context& item)
{
    const bool recorded = item.request.is_non_idempotent();
    if (recorded && !this->records.begin(item.now, item.key))
    {
        // The record store is full, so the request is not executed: without a
        // record, a repetition could be answered "not run" although it was.
        // As a refusal cannot be recorded either, a late duplicate might still
        // be executed, so the answer is not "not run".
        this->answer_unknown(item, result_code::unknown_record_expired);
        return;
    }
    exchange started;
    started.flow = item.flow();
    started.entry = item.message.entry;
    started.trace = item.message.trace;
    started.request = item.request;
    started.key = item.key;
    started.hops = item.message.hops;
    started.mode = item.message.mode;
    const exchange_id id = this->start(item.now, std::move(started));
    this->by_token[make_token_key(item.flow(), item.request)] = id;
    owned_flow* flow = this->ownership.find(item.flow());
    if (flow != nullptr)
    {
        ++flow->exchanges;
    }
    core_event event;
    event.kind = event_kind::request_executed;
    event.flow = item.flow();
    event.trace = item.message.trace;
    this->context.events.on_event(item.now, event);
}

exchange_id request_controller::start(time_point now, exchange item)
{
    const exchange_id id = this->next_exchange++;
    item.started = now;
    duration allowed = this->context.settings.request_deadline;
    if (const auto requested =
            item.request.find_uint(coap_option_number::deadline))
    {
        allowed =
            std::min<duration>(allowed, std::chrono::milliseconds(*requested));
    }
    item.deadline = now + allowed;
    coap_message request = item.request;
    request.type = coap_type::non_confirmable;
    request.message_id = this->next_upstream_message_id++;
    request.token = make_upstream_token(id);
    request.erase(coap_option_number::echo);
    request.set_uint(
        coap_option_number::deadline,
        static_cast<std::uint32_t>(allowed / 1ms));
    ++this->context.in_flight;
    this->exchanges.emplace(id, std::move(item));
    this->context.output.send_to_upstream(this->context.codec.encode(request));
    return id;
}

void request_controller::on_upstream_message(
    time_point now, const coap_message& message)
{
    const exchange_id id = parse_upstream_token(message.token);
    if (this->exchanges.contains(id))
    {
        this->complete(now, id, message);
        return;
    }
    if (this->watches.on_notification(now, id, message))
    {
        return;
    }
    this->context.report(
        now, event_kind::packet_dropped, {}, result_code::dropped_unknown_flow);
    if (message.find(coap_option_number::observe) != nullptr)
    {
        coap_message reset;
        reset.type = coap_type::reset;
        reset.message_id = message.message_id;
        this->context.output.send_to_upstream(
            this->context.codec.encode(reset));
    }
}

void request_controller::complete(
    time_point now, exchange_id id, const coap_message& response)
{
    const auto position = this->exchanges.find(id);
    const exchange item = position->second;
    const bool refused = response.code == coap_code::service_unavailable;
    const duration latency = now - item.started;
    this->context.limit->on_completion(
        now, latency, refused ? completion::refused : completion::success,
        this->context.in_flight);
    this->finish(now, position);
    if (item.kind == exchange_kind::renewal)
    {
        this->watches.renew(item.watch, id);
        this->watches.on_notification(now, id, response);
        return;
    }
    if (item.kind == exchange_kind::hand_over)
    {
        this->complete_hand_over(now, id, item, response);
        return;
    }
    if (refused && this->retry_refused(now, item))
    {
        return;
    }
    this->complete_request(now, id, item, response);
}

void request_controller::complete_request(
    time_point now,
    exchange_id id,
    const exchange& item,
    const coap_message& response)
{
    coap_message answer = response;
    const bool refused = response.code == coap_code::service_unavailable;
    const bool is_watch =
        item.request.find_uint(coap_option_number::observe) == 0U &&
        response.find(coap_option_number::observe) != nullptr;
    if (refused)
    {
        answer = this->answers.make(
            item.request, coap_code::service_unavailable,
            result_code::not_run_upstream_refused);
        answer.set_uint(
            coap_option_number::max_age,
            this->context.retry_after(now, item.flow));
    }
    if (is_watch)
    {
        watch_registration start{id, item.flow, item.entry, item.request, 0};
        start.request.erase(coap_option_number::echo);
        const auto observe = this->watches.start(now, std::move(start));
        answer.set_uint(coap_option_number::observe, observe);
    }
    this->update_block_transfer_deadline(now, item, response);
    core_event event;
    event.kind =
        refused ? event_kind::request_refused : event_kind::request_completed;
    event.code =
        refused ? result_code::not_run_upstream_refused : result_code::done;
    event.flow = item.flow;
    event.elapsed = now - item.started;
    event.trace = item.trace;
    this->context.events.on_event(now, event);
    if (item.request.is_non_idempotent())
    {
        this->records.finish(now, item.key, answer);
    }
    if (!item.is_answer_withheld)
    {
        this->answers.send(
            now, item.flow, item.entry, item.trace, item.request,
            std::move(answer));
    }
}

void request_controller::complete_hand_over(
    time_point now,
    exchange_id id,
    const exchange& item,
    const coap_message& response)
{
    if (response.find(coap_option_number::observe) == nullptr)
    {
        return;
    }
    owned_flow& flow =
        this->ownership.take_ownership(now, item.flow, item.entry);
    if (flow.watches == 0)
    {
        flow.next_message_id = item.handoff.message_id;
    }
    this->watches.start(
        now, {id, item.flow, item.entry, item.request, item.handoff.observe});
    this->watches.on_notification(now, id, response);
    this->context.output.send(
        item.handoff_from, watch_handoff_ack{item.handoff.handoff_id});
}

void request_controller::finish(time_point now, exchange_map::iterator position)
{
    const exchange& item = position->second;
    if (this->context.in_flight > 0)
    {
        --this->context.in_flight;
    }
    if (item.kind == exchange_kind::request)
    {
        this->by_token.erase(make_token_key(item.flow, item.request));
        owned_flow* flow = this->ownership.find(item.flow);
        if (flow != nullptr && flow->exchanges > 0)
        {
            --flow->exchanges;
            flow->last_used = now;
        }
    }
    this->exchanges.erase(position);
}

bool request_controller::retry_refused(time_point now, const exchange& item)
{
    const bytes payload = this->context.codec.encode(item.request);
    forward_message message;
    message.flow = item.flow;
    message.entry = item.entry;
    message.trace = item.trace;
    message.hops = item.hops;
    message.mode = item.mode;
    message.payload = payload;
    const request_context context{now, message, item.request, item.key};
    const bool can_transfer = !context.continues_block_transfer() &&
                              context.may_transfer() &&
                              this->context.retries.try_acquire();
    return can_transfer && this->transfer(context);
}

void request_controller::update_block_transfer_deadline(
    time_point now, const exchange& item, const coap_message& response)
{
    owned_flow* flow = this->ownership.find(item.flow);
    if (flow != nullptr)
    {
        flow->block_transfer_until = has_more_blocks(response)
                                         ? now + block_transfer_idle_limit
                                         : time_point{};
    }
}

void request_controller::on_message(
    time_point now, const message_header& header, const watch_handoff& message)
{
    const auto request = this->context.codec.decode(message.request);
    if (!request || !this->context.accepts_new_work())
    {
        return;
    }
    if (this->watches.holds(message.flow, request->token))
    {
        this->context.output.send(
            header.sender, watch_handoff_ack{message.handoff_id});
        return;
    }
    const auto is_same = [&](const exchange& item)
    {
        return item.kind == exchange_kind::hand_over &&
               item.handoff_from == header.sender &&
               item.handoff.handoff_id == message.handoff_id;
    };
    const bool already_queued =
        std::any_of(this->queued.begin(), this->queued.end(), is_same);
    const bool running = std::any_of(
        this->exchanges.begin(), this->exchanges.end(),
        [&](const auto& entry) { return is_same(entry.second); });
    if (already_queued || running || this->queued.size() >= max_queued)
    {
        return;
    }
    exchange item;
    item.kind = exchange_kind::hand_over;
    item.flow = message.flow;
    item.entry = message.entry;
    item.request = *request;
    item.handoff = message;
    item.handoff_from = header.sender;
    this->queued.push_back(std::move(item));
    this->start_queued(now);
}

void request_controller::on_message(const forward_ack& message)
{
    this->relay.on_acknowledged(message.sequence);
}

void request_controller::on_upstream_restarted(time_point now)
{
    this->terminate_all(now, result_code::unknown_upstream_silent);
    for (const auto& active_watch : this->watches.list())
    {
        exchange item;
        item.kind = exchange_kind::renewal;
        item.flow = active_watch.flow;
        item.entry = active_watch.entry;
        item.request = active_watch.request;
        item.watch = active_watch.id;
        this->queued.push_back(std::move(item));
    }
}

void request_controller::terminate_all(time_point now, result_code code)
{
    std::vector<exchange_id> ids;
    for (const auto& [id, item] : this->exchanges)
    {
        ids.push_back(id);
    }
    for (const exchange_id id : ids)
    {
        this->end_unknown(now, id, code);
    }
    this->queued.clear();
}

void request_controller::on_tick(time_point now)
{
    std::vector<exchange_id> overdue;
    for (const auto& [id, item] : this->exchanges)
    {
        if (now >= item.deadline)
        {
            overdue.push_back(id);
        }
    }
    for (const exchange_id id : overdue)
    {
        const exchange& item = this->exchanges.at(id);
        this->context.limit->on_completion(
            now, now - item.started, completion::timeout,
            this->context.in_flight);
        this->end_unknown(now, id, result_code::unknown_upstream_silent);
    }
    this->start_queued(now);
    this->relay.on_tick(now);
    this->records.expire(now);
}

void request_controller::withhold_ambiguous_answer(const request_context& item)
{
    exchange& running = this->exchanges.at(
        this->by_token.at(make_token_key(item.flow(), item.request)));
    // An acknowledgement carries the message id of its request.
    const bool is_matched_by_token =
        running.request.type == coap_type::non_confirmable ||
        item.request.type == coap_type::non_confirmable;
    if (is_matched_by_token && !(running.key == item.key))
    {
        running.is_answer_withheld = true;
    }
}

bool request_controller::is_in_progress(const request_context& item) const
{
    return this->by_token.contains(make_token_key(item.flow(), item.request));
}

} // namespace masticslip::detail
