#pragma once
/// Established watches (CoAP Observe, RFC 7641): sequence numbers and reliable
/// delivery of notifications, and hand-over to a sibling.

#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/detail/ownership_controller.hpp"

#include <list>
#include <map>
#include <optional>
#include <vector>

namespace masticslip::detail
{

/// Identifies an exchange with the upstream; encoded as its token.
using exchange_id = std::uint32_t;

/// Returns the token of an exchange in messages to the upstream.
bytes make_upstream_token(exchange_id id);

/// Returns the exchange of an upstream token, or 0 if it has another size.
exchange_id parse_upstream_token(const bytes& token);

/// Registration from which a watch starts.
struct watch_registration
{
    exchange_id id = 0;
    flow_key flow;
    instance_id entry;
    /// The caller's registration request.
    coap_message request;
    /// Observe value last sent to the caller.
    std::uint32_t observe = 0;
};

/// Not thread-safe.
class watch_controller
{
public:
    watch_controller(
        companion_context& context, ownership_controller& ownership)
        : context(context), ownership(ownership)
    {
    }

    /// Starts a watch, replacing any watch with the same flow and token.
    /// Returns the Observe value for the first response.
    std::uint32_t start(time_point now, watch_registration start);

    /// Assigns a watch to the exchange that has registered it again.
    void renew(exchange_id previous, exchange_id current);

    /// Forwards a notification. Returns false if the watch is unknown.
    bool on_notification(
        time_point now, exchange_id id, const coap_message& notification);

    /// Handles the caller's acknowledgement of a notification, which may be the
    /// last one of a watch that has ended. Returns false
    /// if no unacknowledged notification has this message id.
    bool on_acknowledgement(const flow_key& flow, std::uint16_t message_id);

    /// Ends the watch whose notification the caller rejected. Returns false
    /// under the same condition.
    bool
    on_reset(time_point now, const flow_key& flow, std::uint16_t message_id);

    /// Ends the watch with this flow and token at the caller's request.
    void cancel(time_point now, const flow_key& flow, const bytes& token);

    /// Retransmits notifications and hand-overs that are due.
    void on_tick(time_point now);

    /// Ends all watches with a final response whose Max-Age says when to retry.
    void terminate_all(time_point now, result_code code);

    /// Handles a sibling's acceptance of a watch.
    void on_message(
        time_point now,
        const message_header& header,
        const watch_handoff_ack& message);

    /// True if there is a watch with this flow and token.
    [[nodiscard]] bool holds(const flow_key& flow, const bytes& token);

    /// Returns all watches, to register them again at a restarted upstream.
    [[nodiscard]] std::vector<watch_registration> list() const;

    [[nodiscard]] std::size_t size() const
    {
        return this->watches.size();
    }

private:
    struct watch
    {
        watch_registration origin;
        /// Latest notification, until the caller acknowledges it.
        std::optional<coap_message> unacknowledged;
        std::uint32_t attempts = 0;
        time_point retransmit_at;
        time_point hand_over_at;
    };

    using watch_map = std::map<exchange_id, watch>;

    void send(time_point now, watch& item);
    void end(time_point now, watch_map::iterator position, result_code code);
    /// Ends a watch whose last notification was sent. It is retransmitted like
    /// the others.
    void end_unacknowledged(
        time_point now, watch_map::iterator position, result_code code);
    void retransmit_last(time_point now);
    /// Stops to retransmit a last notification. Returns false if there is none
    /// with this message id.
    bool forget_last(const flow_key& flow, std::uint16_t message_id);
    void cancel_at_upstream(const watch& item);
    void hand_over(time_point now, watch& item);
    watch_map::iterator find(const flow_key& flow, const bytes& token);
    watch_map::iterator find(const flow_key& flow, std::uint16_t message_id);

    companion_context& context;
    ownership_controller& ownership;
    watch_map watches;
    /// Watches that have ended and whose last notification the caller has not
    /// acknowledged.
    std::list<watch> ended;
};

} // namespace masticslip::detail
