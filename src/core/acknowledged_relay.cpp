#include "masticslip/core/detail/acknowledged_relay.hpp"

#include <utility>
#include <vector>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration ack_timeout = 100ms;
constexpr std::uint32_t max_attempts = 3;
constexpr std::size_t max_unacknowledged = 4096;

} // namespace

void acknowledged_relay::send(
    time_point now,
    forward_message message,
    instance_id target,
    forward_mode mode)
{
    if (this->unacknowledged.size() >= max_unacknowledged)
    {
        message.sequence = 0;
        this->ownership.relay(now, message, target, mode);
        return;
    }
    message.sequence = this->next_sequence++;
    sent_packet kept{
        buffered_packet(message), target, mode, 1, now + ack_timeout};
    this->unacknowledged.emplace(message.sequence, std::move(kept));
    this->ownership.relay(now, message, target, mode);
}

void acknowledged_relay::on_acknowledged(std::uint32_t sequence)
{
    this->unacknowledged.erase(sequence);
}

void acknowledged_relay::on_tick(time_point now)
{
    std::vector<std::uint32_t> undelivered;
    for (auto& [sequence, item] : this->unacknowledged)
    {
        if (now < item.retransmit_at)
        {
            continue;
        }
        if (item.attempts >= max_attempts)
        {
            undelivered.push_back(sequence);
            continue;
        }
        ++item.attempts;
        item.retransmit_at = now + ack_timeout;
        this->ownership.relay(
            now, item.packet.message(), item.target, item.mode);
    }
    for (const std::uint32_t sequence : undelivered)
    {
        const auto node = this->unacknowledged.extract(sequence);
        this->on_delivery_failure(now, node.mapped().packet.message());
    }
}

} // namespace masticslip::detail
