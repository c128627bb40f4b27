#pragma once
/// Executes callers' requests at the upstream: at most once, within the
/// concurrency limit and the deadline, with exactly one final response each.

#include "masticslip/core/detail/acknowledged_relay.hpp"
#include "masticslip/core/detail/answer_sender.hpp"
#include "masticslip/core/detail/request_filters.hpp"
#include "masticslip/core/detail/watch_controller.hpp"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace masticslip::detail
{

/// Not thread-safe.
class request_controller final : public request_actions
{
public:
    request_controller(
        companion_context& context,
        ownership_controller& ownership,
        watch_controller& watches,
        const retirement_controller& retirement);

    /// Handles a decoded request of a flow that this companion serves.
    void on_request(
        time_point now,
        const forward_message& message,
        const coap_message& request);

    /// Handles a message from the upstream.
    void on_upstream_message(time_point now, const coap_message& message);

    /// Handles the hand-over of a watch by a sibling.
    void on_message(
        time_point now,
        const message_header& header,
        const watch_handoff& message);

    /// Handles the acknowledgement of a packet that was sent to the companion
    /// named by its Echo value.
    void on_message(const forward_ack& message);

    /// Handles a restart of the upstream, which loses its requests and watches.
    void on_upstream_restarted(time_point now);

    /// Ends all requests in progress with an unknown outcome.
    void terminate_all(time_point now, result_code code);

    /// Runs timeouts, queued exchanges and retransmissions.
    void on_tick(time_point now);

    [[nodiscard]] std::size_t in_progress() const
    {
        return this->exchanges.size();
    }

    [[nodiscard]] const execution_records& record_store() const
    {
        return this->records;
    }

    void refuse(const request_context& context, result_code code) override;
    void
    answer_unknown(const request_context& context, result_code code) override;
    void require_echo(const request_context& context) override;
    void repeat_answer(
        const request_context& context, const coap_message& answer) override;
    void send_to_bound(
        const request_context& context, const echo_claim& claim) override;
    bool transfer(const request_context& context) override;
    void transfer_again(
        const request_context& context, instance_incarnation target) override;
    [[nodiscard]] bool
    is_in_progress(const request_context& context) const override;
    void withhold_ambiguous_answer(const request_context& context) override;

private:
    /// Purpose of an exchange with the upstream.
    enum class exchange_kind : std::uint8_t
    {
        request,  ///< Request of a caller.
        renewal,  ///< Renews a watch after an upstream restart.
        hand_over ///< Takes over a sibling's watch.
    };

    struct exchange
    {
        exchange_kind kind = exchange_kind::request;
        flow_key flow;
        instance_id entry;
        trace_context trace;
        coap_message request;
        request_key key;
        std::uint8_t hops = 0;
        forward_mode mode = forward_mode::owner;
        bool is_answer_withheld = false;
        time_point started;
        time_point deadline;
        /// For hand_over: the message and its sender.
        watch_handoff handoff;
        instance_id handoff_from;
        /// For renewal: the watch to renew.
        exchange_id watch = 0;
    };

    using exchange_map = std::unordered_map<exchange_id, exchange>;

    void relay_after_retirement(time_point now, const forward_message& message);
    void execute(const request_context& context);
    exchange_id start(time_point now, exchange item);
    /// Ends an exchange with the upstream's response.
    void complete(time_point now, exchange_id id, const coap_message& response);
    void complete_request(
        time_point now,
        exchange_id id,
        const exchange& item,
        const coap_message& response);
    void complete_hand_over(
        time_point now,
        exchange_id id,
        const exchange& item,
        const coap_message& response);
    /// Removes an exchange, whatever its outcome; sends no answer.
    void finish(time_point now, exchange_map::iterator position);
    /// Ends an exchange without a response: cancels it at the upstream and
    /// answers a caller's request that the outcome is unknown. A renewal is
    /// queued again.
    void end_unknown(time_point now, exchange_id id, result_code code);
    bool retry_refused(time_point now, const exchange& item);
    void update_block_transfer_deadline(
        time_point now, const exchange& item, const coap_message& response);
    void send_final(
        const request_context& context,
        coap_code code,
        result_code result,
        bool record);
    void cancel_at_upstream(time_point now, exchange_id id);
    void start_queued(time_point now);
    void on_relay_failure(time_point now, const forward_message& message);

    companion_context& context;
    ownership_controller& ownership;
    watch_controller& watches;
    const retirement_controller& retirement;
    answer_sender answers;
    acknowledged_relay relay;
    execution_records records;
    std::vector<std::unique_ptr<request_filter>> filters;
    exchange_map exchanges;
    std::unordered_map<request_key, exchange_id> by_token;
    std::deque<exchange> queued;
    exchange_id next_exchange = 1;
    std::uint16_t next_upstream_message_id = 1;
};

} // namespace masticslip::detail
