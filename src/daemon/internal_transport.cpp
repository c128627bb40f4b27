#include "internal_transport.hpp"

namespace masticslip
{

void internal_transport::start(
    message_handler handler, generation_source source)
{
    this->on_message = std::move(handler);
    this->current_generation = std::move(source);
    this->socket.start([this](const endpoint&, byte_view datagram)
                       { this->on_datagram(datagram); });
}

void internal_transport::send(instance_id to, const internal_message& message)
{
    const generation number =
        this->current_generation ? this->current_generation() : 0;
    const byte_view datagram = this->codec.encode(to, number, message);
    const bool carries_traffic =
        std::holds_alternative<forward_message>(message) ||
        std::holds_alternative<reply_message>(message);
    if (!carries_traffic)
    {
        this->control_byte_count += datagram.size();
    }
    this->socket.send(to.address(), datagram);
}

void internal_transport::on_datagram(byte_view datagram)
{
    failure_reason reason;
    const auto received = this->codec.decode(datagram, reason);
    if (!received)
    {
        this->metrics.count_refused_datagram(reason.code);
        return;
    }
    this->on_message(*received);
}

} // namespace masticslip
