// Upstreams: status reports, crashes and replacement.

#include "soak_slots.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace masticslip::soak
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using namespace masticslip::standin;

void soak_world::start_host(std::size_t index, bool is_cold)
{
    host_slot& slot = *this->hosts[index];
    ++slot.incarnation_number;
    slot.drain_acknowledged_at = {};
    slot.host->start(is_cold);
    this->listen(index);
    this->report_status(index, slot.incarnation_number);
}

void soak_world::listen(std::size_t index)
{
    host_slot& slot = *this->hosts[index];
    const std::uint32_t address = this->nodes[slot.node]->address;
    slot.listener = std::make_unique<asio::ip::tcp::acceptor>(
        this->context,
        asio::ip::tcp::endpoint(asio::ip::address_v4(address), ports.upstream));
    this->accept_connections(index);
}

void soak_world::accept_connections(std::size_t index)
{
    this->hosts[index]->listener->async_accept(
        [this, index](const boost::system::error_code& error, auto)
        {
            if (!error && this->hosts[index]->listener)
            {
                this->accept_connections(index);
            }
        });
}

void soak_world::report_status(
    std::size_t index, std::uint64_t incarnation_number)
{
    host_slot& slot = *this->hosts[index];
    if (slot.incarnation_number != incarnation_number || !slot.host->is_alive())
    {
        return;
    }
    const upstream_status status = slot.host->next_status();
    slot.last_status = status;
    asio::co_spawn(
        this->context, this->send_status(index, status), asio::detached);
    this->queue.after(
        status_interval, [this, index, incarnation_number]
        { this->report_status(index, incarnation_number); });
}

asio::awaitable<void>
soak_world::send_status(std::size_t index, upstream_status status)
{
    host_slot& slot = *this->hosts[index];
    const std::uint64_t incarnation_number = slot.incarnation_number;
    std::string reason;
    const auto answer = co_await send_http(
        status_call(this->nodes[slot.node]->address, status), reason);
    // A delayed status may belong to an earlier start of the upstream; its
    // acknowledgement does not count for the present one.
    const bool is_current = slot.incarnation_number == incarnation_number &&
                            slot.last_status &&
                            slot.last_status->incarnation == status.incarnation;
    const bool is_acknowledged =
        answer && answer->result() == http::status::ok && is_current;
    if (is_acknowledged && status.is_draining &&
        slot.drain_acknowledged_at == time_point{})
    {
        slot.drain_acknowledged_at = this->queue.now();
    }
}

asio::awaitable<void>
soak_world::send_departure(std::size_t index, upstream_incarnation incarnation)
{
    const std::uint32_t address =
        this->nodes[this->hosts[index]->node]->address;
    std::string reason;
    co_await send_http(departure_call(address, incarnation), reason);
}

void soak_world::crash_host(
    std::size_t index, bool bounces, std::chrono::milliseconds down)
{
    host_slot& slot = *this->hosts[index];
    this->disturb(slot.node, down);
    ++slot.incarnation_number;
    slot.host->crash(bounces);
    slot.listener.reset();
    const std::uint64_t incarnation_number = slot.incarnation_number;
    this->queue.after(
        down,
        [this, index, incarnation_number]
        {
            if (this->hosts[index]->incarnation_number == incarnation_number)
            {
                this->start_host(index, true);
            }
        });
}

void soak_world::replace_host(std::size_t index)
{
    host_slot& slot = *this->hosts[index];
    slot.host->drain();
    const std::uint64_t incarnation_number = slot.incarnation_number;
    this->queue.after(
        status_interval + drain_time,
        [this, index, incarnation_number]
        {
            host_slot& leaving = *this->hosts[index];
            if (leaving.incarnation_number != incarnation_number ||
                !leaving.last_status)
            {
                return;
            }
            const auto incarnation = leaving.last_status->incarnation;
            asio::co_spawn(
                this->context, this->send_departure(index, incarnation),
                asio::detached);
            this->crash_host(index, false, 1'000ms);
        });
}

void soak_world::resend_status_late(std::size_t index)
{
    host_slot& slot = *this->hosts[index];
    if (!slot.last_status)
    {
        return;
    }
    const upstream_status status = *slot.last_status;
    this->queue.after(
        2'500ms,
        [this, index, status]
        {
            asio::co_spawn(
                this->context, this->send_status(index, status),
                asio::detached);
        });
}

} // namespace masticslip::soak
