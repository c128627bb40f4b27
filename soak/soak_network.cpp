// The network fabric, and delivery of packets to callers and upstreams.

#include "soak_slots.hpp"

#include "masticslip/core/rendezvous.hpp"
#include "platform/packet_bridge.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace masticslip::soak
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace masticslip::standin;

void soak_world::probe_entries()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        if (this->nodes[i]->is_entry)
        {
            asio::co_spawn(this->context, this->probe(i), asio::detached);
        }
    }
    this->queue.after(probe_interval, [this] { this->probe_entries(); });
}

asio::awaitable<void> soak_world::probe(std::size_t index)
{
    node_slot& slot = *this->nodes[index];
    std::string problem;
    const auto answer = co_await send_http(ready_call(slot.address), problem);
    const bool is_ready = answer && answer->result() == http::status::ok;
    slot.failed_probes = is_ready ? 0 : slot.failed_probes + 1;
    slot.in_rotation = is_ready || (slot.in_rotation &&
                                    slot.failed_probes < max_failed_probes);
}

void soak_world::route(const virtual_packet& packet)
{
    std::vector<weighted_instance> ready;
    std::vector<weighted_instance> all;
    for (const auto& slot : this->nodes)
    {
        if (slot->is_entry)
        {
            all.push_back({{slot->address}, 1});
            if (slot->in_rotation)
            {
                ready.push_back({{slot->address}, 1});
            }
        }
    }
    const auto& members = ready.empty() ? all : ready;
    const auto chosen =
        rank_candidates(hash_flow_endpoints(packet.flow), members, 1);
    const auto address = static_cast<std::uint32_t>(chosen.front().value);
    this->fabric.send({address, ports.packets}, to_datagram(packet));
}

void soak_world::on_host_datagram(std::size_t index, byte_view datagram)
{
    const auto packet = from_datagram(datagram, true);
    const time_point now = this->queue.now();
    host_slot& slot = *this->hosts[index];
    if (!packet)
    {
        this->promises.report(now, "a host received a malformed packet");
        return;
    }
    if (packet->flags.opens && slot.host->is_alive())
    {
        this->promises.on_opening(
            now,
            {"host " + std::to_string(index), slot.service,
             domain_name(slot.domain), slot.drain_acknowledged_at,
             slot.host->is_cold(), &slot.host->openings},
            packet->flow);
    }
    slot.host->on_packet(*packet, this->clients.work_of(packet->request));
}

void soak_world::check_execution(std::uint64_t request)
{
    const int count = ++this->execution_counts[request];
    if (count > 1 && !this->clients.is_idempotent(request))
    {
        this->promises.on_repeated_run(this->queue.now(), request);
    }
}

void soak_world::on_caller_datagram(const endpoint& sender, byte_view datagram)
{
    const auto packet = from_datagram(datagram, false);
    if (!packet)
    {
        this->promises.report(
            this->queue.now(), "a caller received a malformed packet");
        return;
    }
    if (!packet->flags.resets)
    {
        this->clients.on_packet(*packet);
        return;
    }
    if (this->clients.accepts_reset(packet->flow, packet->sequence))
    {
        this->check_reset(sender, packet->flow);
    }
    this->clients.on_reset(packet->flow, packet->sequence);
}

void soak_world::check_reset(const endpoint& sender, const flow_endpoints& flow)
{
    const auto from = this->node_by_address.find(sender.address);
    const bool is_known = from != this->node_by_address.end();
    for (const auto& slot : this->hosts)
    {
        const bool is_tolerated = !is_known ||
                                  this->is_disturbed(from->second) ||
                                  this->is_disturbed(slot->node);
        if (slot->host->holds(flow) && this->clients.is_open(flow) &&
            !is_tolerated)
        {
            this->promises.on_reset_of_held_flow(
                this->queue.now(), flow,
                this->nodes[slot->node]->process->label() + " (reset by " +
                    to_string(sender) + ")");
        }
    }
}

} // namespace masticslip::soak
