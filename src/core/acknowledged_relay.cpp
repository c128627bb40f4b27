#include "masticslip/core/detail/acknowledged_relay.hpp"

#include <utility>
#include <vector>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration acknowledge_timeout = 100ms;
constexpr std::uint32_t max_attempts = 3;
constexpr std::size_t max_waiting = 4096;

} // namespace

void acknowledged_relay::send(
    time_point now,
    forward_message message,
    instance_id target,
    forward_mode mode)
{
    if (this->waiting.size() >= max_waiting)
    {
        return;
    }
    message.sequence = this->next_sequence++;
    sent_packet kept{
        held_packet(message), target, mode, 1, now + acknowledge_timeout};
    this->waiting.emplace(message.sequence, std::move(kept));
    this->ownership.relay(now, message, target, mode);
}

void acknowledged_relay::on_acknowledged(std::uint32_t sequence)
{
    this->waiting.erase(sequence);
}

void acknowledged_relay::on_tick(time_point now)
{
    std::vector<std::uint32_t> given_up;
    for (auto& [sequence, item] : this->waiting)
    {
        if (now < item.repeat_at)
        {
            continue;
        }
        if (item.attempts >= max_attempts)
        {
            given_up.push_back(sequence);
            continue;
        }
        ++item.attempts;
        item.repeat_at = now + acknowledge_timeout;
        this->ownership.relay(
            now, item.packet.message(), item.target, item.mode);
    }
    for (const std::uint32_t sequence : given_up)
    {
        const auto node = this->waiting.extract(sequence);
        this->on_give_up(now, node.mapped().packet.message());
    }
}

} // namespace masticslip::detail
