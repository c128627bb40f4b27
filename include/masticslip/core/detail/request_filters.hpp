#pragma once
/// The filter chain that each caller's request passes before execution.
///
/// Order: duplicates, Echo binding, drain, admission. Each filter either passes
/// the request to the next one or handles it conclusively.

#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/detail/ownership_controller.hpp"
#include "masticslip/core/detail/retirement_controller.hpp"
#include "masticslip/core/execution_records.hpp"

#include <memory>
#include <vector>

namespace masticslip::detail
{

/// A request while it is processed by the chain.
struct request_context
{
    time_point now;
    const forward_message& message;
    const coap_message& request;
    request_key key;

    [[nodiscard]] const flow_key& flow() const
    {
        return this->message.flow;
    }

    /// A request is transferred at most once: two companions that transfer it
    /// to each other would leave it without a response.
    [[nodiscard]] bool may_transfer() const
    {
        return this->message.mode != forward_mode::transfer;
    }

    /// True if the request continues a multi-block transfer.
    [[nodiscard]] bool continues_block_transfer() const;
};

/// Actions with which a filter handles a request that it does not pass.
class request_actions
{
public:
    virtual ~request_actions() = default;

    /// Responds that the request was not executed and never will be.
    virtual void refuse(const request_context& context, result_code code) = 0;

    /// Responds that the outcome is unknown.
    virtual void
    answer_unknown(const request_context& context, result_code code) = 0;

    /// Responds with 4.01 (Unauthorized) and a fresh Echo value.
    virtual void require_echo(const request_context& context) = 0;

    /// Sends a stored response again.
    virtual void repeat_answer(
        const request_context& context, const coap_message& answer) = 0;

    /// Relays a request to the companion named by its Echo value.
    virtual void
    send_to_bound(const request_context& context, const echo_claim& claim) = 0;

    /// Transfers an unexecuted request to a sibling. Returns false if there is
    /// no sibling, or if the transfer cannot be recorded.
    virtual bool transfer(const request_context& context) = 0;

    /// Sends a request that was transferred before to the same sibling again.
    virtual void transfer_again(
        const request_context& context, instance_incarnation target) = 0;

    /// True if an exchange for this flow and token is in progress.
    [[nodiscard]] virtual bool
    is_in_progress(const request_context& context) const = 0;

    /// Withholds the answer of the exchange in progress if the caller may take
    /// it for that to this other request: both have the same token, and one is
    /// not confirmable.
    virtual void withhold_ambiguous_answer(const request_context& context) = 0;
};

/// One step of the chain. Not thread-safe.
class request_filter
{
public:
    virtual ~request_filter() = default;

    /// Returns true if the request may proceed to the next filter; otherwise
    /// this filter has handled it, and it must not be executed.
    virtual bool pass(const request_context& context) = 0;
};

/// Creates the filters in chain order. The arguments must outlive them.
std::vector<std::unique_ptr<request_filter>> make_request_filters(
    companion_context& context,
    execution_records& records,
    ownership_controller& ownership,
    const retirement_controller& retirement,
    request_actions& actions);

} // namespace masticslip::detail
