#pragma once
/// Sends packets to other companions until these acknowledge them.

#include "masticslip/core/detail/held_packet.hpp"
#include "masticslip/core/detail/ownership_controller.hpp"

#include <functional>
#include <unordered_map>

namespace masticslip::detail
{

/// Not thread-safe.
class acknowledged_relay
{
public:
    /// Called with a packet that was not acknowledged in time.
    using give_up_handler =
        std::function<void(time_point, const forward_message&)>;

    acknowledged_relay(
        ownership_controller& ownership, give_up_handler on_give_up)
        : ownership(ownership), on_give_up(std::move(on_give_up))
    {
    }

    /// Sends a packet; it is dropped if too many wait already.
    void send(
        time_point now,
        forward_message message,
        instance_id target,
        forward_mode mode);

    /// Takes the acknowledgement of a packet.
    void on_acknowledged(std::uint32_t sequence);

    /// Repeats or gives up what is overdue.
    void on_tick(time_point now);

private:
    struct sent_packet
    {
        held_packet packet;
        instance_id target;
        forward_mode mode = forward_mode::bound;
        std::uint32_t attempts = 0;
        time_point repeat_at;
    };

    ownership_controller& ownership;
    give_up_handler on_give_up;
    std::unordered_map<std::uint32_t, sent_packet> waiting;
    std::uint32_t next_sequence = 1;
};

} // namespace masticslip::detail
