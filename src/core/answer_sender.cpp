#include "masticslip/core/detail/answer_sender.hpp"

namespace masticslip::detail
{

coap_message answer_sender::make(
    const coap_message& request, coap_code code, result_code result) const
{
    coap_message answer;
    answer.code = code;
    answer.token = request.token;
    const std::string_view name = to_string(result);
    answer.payload.assign(name.begin(), name.end());
    return answer;
}

void answer_sender::send(
    time_point now,
    const flow_key& flow,
    instance_id entry,
    const trace_context& trace,
    const coap_message& request,
    coap_message answer)
{
    answer.token = request.token;
    const owned_flow* owned = this->ownership.find(flow);
    if (request.type == coap_type::confirmable)
    {
        answer.type = coap_type::acknowledgement;
        answer.message_id = request.message_id;
    }
    else
    {
        answer.type = coap_type::non_confirmable;
        answer.message_id = static_cast<std::uint16_t>(~request.message_id);
    }
    const echo_claim claim{
        this->context.settings.self, this->context.settings.incarnation_number,
        now};
    answer.set(coap_option_number::echo, this->context.issuer.issue(claim));
    this->context.send_to_caller(
        this->context.select_live_entry(flow, entry, 0), flow, trace,
        owned != nullptr, answer);
}

} // namespace masticslip::detail
