#pragma once
/// Builds responses that originate at the companion, and sends responses to
/// callers, each with a fresh Echo value.

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

    /// Builds a response whose payload is the name of the result code.
    [[nodiscard]] coap_message
    make(const coap_message& request, coap_code code, result_code result) const;

    /// Sends a response: piggybacked on the acknowledgement of a confirmable
    /// request, else as a non-confirmable message.
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
