#pragma once
/// Established watches (CoAP Observe, RFC 7641): numbering and reliable
/// delivery of notifications, and the hand-over to a sibling.

#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/detail/ownership_controller.hpp"

#include <map>
#include <optional>
#include <vector>

namespace masticslip::detail
{

/// Identifies an exchange with the upstream; it is the token used there.
using exchange_id = std::uint32_t;

/// Returns the token that the upstream sees for an exchange.
bytes make_upstream_token(exchange_id id);

/// Returns the exchange of an upstream token, or zero.
exchange_id parse_upstream_token(const bytes& token);

/// What a watch starts with.
struct watch_start
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

    /// Starts a watch; it replaces one with the same flow and token. Returns
    /// the Observe value for the first answer.
    std::uint32_t start(time_point now, watch_start start);

    /// Moves a watch to the exchange that registered it again.
    void renew(exchange_id former, exchange_id current);

    /// Passes a notification on. False if the watch is unknown.
    bool on_notification(
        time_point now, exchange_id id, const coap_message& notification);

    /// Takes the caller's acknowledgement of a notification. False if no
    /// notification with this id was sent here.
    bool on_acknowledgement(const flow_key& flow, std::uint16_t message_id);

    /// Takes the caller's rejection: the watch ends. False as above.
    bool
    on_reset(time_point now, const flow_key& flow, std::uint16_t message_id);

    /// Ends the watch of a token, as the caller asked.
    void cancel(time_point now, const flow_key& flow, const bytes& token);

    /// Repeats notifications and hand-overs that are due.
    void on_tick(time_point now);

    /// Ends all watches with a final answer that says when to come back.
    void give_up_all(time_point now, result_code code);

    /// Takes a sibling's acceptance of a watch.
    void on_message(
        time_point now,
        const message_header& header,
        const watch_handoff_ack& message);

    /// True if there is a watch with this flow and token.
    [[nodiscard]] bool holds(const flow_key& flow, const bytes& token);

    /// All watches, to register them again at a restarted upstream.
    [[nodiscard]] std::vector<watch_start> list() const;

    [[nodiscard]] std::size_t size() const
    {
        return this->watches.size();
    }

private:
    struct watch
    {
        watch_start origin;
        /// Notification that the caller has not acknowledged.
        std::optional<coap_message> unacknowledged;
        std::uint32_t attempts = 0;
        time_point repeat_at;
        time_point hand_over_at;
    };

    using watch_map = std::map<exchange_id, watch>;

    void send(time_point now, watch& item);
    void end(time_point now, watch_map::iterator place, result_code code);
    void cancel_at_upstream(const watch& item);
    void hand_over(time_point now, watch& item);
    watch_map::iterator find(const flow_key& flow, const bytes& token);
    watch_map::iterator find(const flow_key& flow, std::uint16_t message_id);

    companion_context& context;
    ownership_controller& ownership;
    watch_map watches;
};

} // namespace masticslip::detail
