// Completion of requests: responses, refusals, transfer and cancellation.

#include "masticslip/core/detail/request_controller.hpp"

#include <algorithm>
#include <utility>

namespace masticslip::detail
{

using namespace std::chrono_literals;

void request_controller::end_unknown(
    time_point now, exchange_id id, result_code code)
{
    const auto position = this->exchanges.find(id);
    const exchange item = position->second;
    this->finish(now, position);
    this->cancel_at_upstream(now, id);
    if (item.kind == exchange_kind::renewal)
    {
        this->queued.push_back(item);
        return;
    }
    if (item.kind == exchange_kind::hand_over)
    {
        return;
    }
    coap_message answer =
        this->answers.make(item.request, coap_code::gateway_timeout, code);
    answer.set_uint(
        coap_option_number::max_age, this->context.retry_after(now, item.flow));
    if (item.request.is_non_idempotent())
    {
        this->records.finish(now, item.key, answer);
    }
    this->context.report(now, event_kind::request_unknown, item.flow, code);
    if (!item.is_answer_withheld)
    {
        this->answers.send(
            now, item.flow, item.entry, item.trace, item.request,
            std::move(answer));
    }
}

void request_controller::refuse(const request_context& item, result_code code)
{
    // A late duplicate of a refused request must not be executed either, so
    // the refusal is recorded as the final response.
    const bool recorded = item.request.is_non_idempotent();
    if (recorded && !this->records.begin(item.now, item.key))
    {
        this->answer_unknown(item, result_code::unknown_record_expired);
        return;
    }
    this->context.report(
        item.now, event_kind::request_refused, item.flow(), code);
    this->send_final(item, coap_code::service_unavailable, code, recorded);
}

void request_controller::answer_unknown(
    const request_context& item, result_code code)
{
    this->context.report(
        item.now, event_kind::request_unknown, item.flow(), code);
    this->send_final(item, coap_code::gateway_timeout, code, false);
}

void request_controller::require_echo(const request_context& item)
{
    this->context.report(
        item.now, event_kind::request_refused, item.flow(),
        result_code::not_run_echo_required);
    this->answers.send(
        item.now, item.flow(), item.message.entry, item.message.trace,
        item.request,
        this->answers.make(
            item.request, coap_code::unauthorized,
            result_code::not_run_echo_required));
}

void request_controller::repeat_answer(
    const request_context& item, const coap_message& answer)
{
    this->answers.send(
        item.now, item.flow(), item.message.entry, item.message.trace,
        item.request, answer);
}

void request_controller::send_to_bound(
    const request_context& item, const echo_claim& claim)
{
    this->relay.send(
        item.now, item.message, claim.companion, forward_mode::bound);
}

bool request_controller::transfer(const request_context& item)
{
    const auto sibling =
        this->context.select_sibling(item.flow(), this->context.settings.self);
    if (!sibling)
    {
        return false;
    }
    const bool recorded = item.request.is_non_idempotent();
    if (recorded && !this->records.transfer(item.now, item.key, *sibling))
    {
        return false;
    }
    this->context.report(
        item.now, event_kind::request_transferred, item.flow(),
        result_code::done, sibling->id);
    forward_message message = item.message;
    owned_flow* flow = this->ownership.find(item.flow());
    if (flow != nullptr)
    {
        message.moves_flow = flow->watches == 0 && flow->exchanges == 0;
        flow->delegate = sibling->id;
    }
    if (message.moves_flow)
    {
        this->ownership.redirect(item.now, item.flow(), sibling->id);
    }
    this->transfer_again({item.now, message, item.request, item.key}, *sibling);
    return true;
}

void request_controller::transfer_again(
    const request_context& item, instance_incarnation target)
{
    forward_message message = item.message;
    message.target_incarnation = target.incarnation_number;
    message.sequence = 0;
    this->ownership.relay(item.now, message, target.id, forward_mode::transfer);
}

void request_controller::send_final(
    const request_context& item,
    coap_code code,
    result_code result,
    bool record)
{
    coap_message answer = this->answers.make(item.request, code, result);
    answer.set_uint(
        coap_option_number::max_age,
        this->context.retry_after(item.now, item.flow()));
    if (record)
    {
        this->records.finish(item.now, item.key, answer);
    }
    this->answers.send(
        item.now, item.flow(), item.message.entry, item.message.trace,
        item.request, std::move(answer));
}

void request_controller::cancel_at_upstream(time_point now, exchange_id id)
{
    coap_message cancel;
    cancel.type = coap_type::non_confirmable;
    cancel.code = coap_code::del;
    cancel.message_id = this->next_upstream_message_id++;
    cancel.token = make_upstream_token(id);
    cancel.add_text(coap_option_number::uri_path, "masticslip");
    cancel.add_text(coap_option_number::uri_path, "cancel");
    this->context.output.send_to_upstream(this->context.codec.encode(cancel));
    this->context.report(now, event_kind::request_cancelled, {});
}

void request_controller::start_queued(time_point now)
{
    while (!this->queued.empty() && this->context.admits())
    {
        exchange item = std::move(this->queued.front());
        this->queued.pop_front();
        this->start(now, std::move(item));
    }
}

void request_controller::on_relay_failure(
    time_point now, const forward_message& message)
{
    const auto request = this->context.codec.decode(message.payload);
    if (request)
    {
        const request_context context{
            now, message, *request, make_request_key(message.flow, *request)};
        this->answer_unknown(context, result_code::unknown_companion_gone);
    }
}

} // namespace masticslip::detail
