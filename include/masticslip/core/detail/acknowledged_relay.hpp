#pragma once
/// Reliable delivery of packets to other companions, with retransmission.

#include "masticslip/core/detail/buffered_packet.hpp"
#include "masticslip/core/detail/ownership_controller.hpp"

#include <functional>
#include <unordered_map>

namespace masticslip::detail
{

/// Not thread-safe.
class acknowledged_relay
{
public:
    /// Called with a packet that was not acknowledged after all attempts.
    using delivery_failure_handler =
        std::function<void(time_point, const forward_message&)>;

    acknowledged_relay(
        ownership_controller& ownership,
        delivery_failure_handler on_delivery_failure)
        : ownership(ownership),
          on_delivery_failure(std::move(on_delivery_failure))
    {
    }

    /// Sends a packet. If too many packets are unacknowledged, sends it once
    /// without asking for an acknowledgement; a loss is then not reported.
    void send(
        time_point now,
        forward_message message,
        instance_id target,
        forward_mode mode);

    /// Handles the acknowledgement of a packet.
    void on_acknowledged(std::uint32_t sequence);

    /// Retransmits overdue packets or reports them as undelivered.
    void on_tick(time_point now);

private:
    struct sent_packet
    {
        buffered_packet packet;
        instance_id target;
        forward_mode mode = forward_mode::bound;
        std::uint32_t attempts = 0;
        time_point retransmit_at;
    };

    ownership_controller& ownership;
    delivery_failure_handler on_delivery_failure;
    std::unordered_map<std::uint32_t, sent_packet> unacknowledged;
    std::uint32_t next_sequence = 1;
};

} // namespace masticslip::detail
