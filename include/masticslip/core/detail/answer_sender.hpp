#pragma once
/// Builds a companion's own answers and sends answers to callers, each with a
/// fresh Echo value.

#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/detail/ownership_controller.hpp"

namespace masticslip::detail
{

/// Not thread-safe.
class answer_sender
{
public:
    answer_sender(companion_context& context, ownership_controller& ownership)
        : context(context), ownership(ownership)
    {
    }

    /// Builds an answer whose payload is the name of the result.
    [[nodiscard]] coap_message
    make(const coap_message& request, coap_code code, result_code result) const;

    /// Sends an answer in the form that the request's type asks for.
    void send(
        time_point now,
        const flow_key& flow,
        instance_id entry,
        const trace_context& trace,
        const coap_message& request,
        coap_message answer);

private:
    companion_context& context;
    ownership_controller& ownership;
};

} // namespace masticslip::detail
