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

std::size_t soak_world::choose_entry(const flow_endpoints& flow) const
{
    std::vector<weighted_instance> ready;
    std::vector<weighted_instance> all;
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        if (this->nodes[i]->is_entry)
        {
            all.push_back({{i}, 1});
            if (this->nodes[i]->in_rotation)
            {
                ready.push_back({{i}, 1});
            }
        }
    }
    const bool has_too_few = ready.size() * 2 < all.size();
    const auto& members = has_too_few ? all : ready;
    return rank_candidates(hash_flow_endpoints(flow), members, 1).front().value;
}

void soak_world::route(const virtual_packet& packet)
{
    const time_point now = this->queue.now();
    const auto [found, is_new] = this->tracks.try_emplace(packet.flow);
    flow_track& track = found->second;
    // A part of the flows stays with an entry until its process is gone, the
    // others move when it leaves the rotation.
    const bool stays = !is_new && hash_flow_endpoints(packet.flow) % 2 == 0 &&
                       this->nodes[track.entry]->process->is_running();
    if (!stays)
    {
        track.entry = this->choose_entry(packet.flow);
    }
    track.was_idle = track.was_idle ||
                     (!is_new && now - track.last_packet > flow_idle_limit);
    track.last_packet = now;
    this->fabric.send(
        {this->nodes[track.entry]->address, ports.packets},
        to_datagram(packet));
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
    if (!packet->flags.opens)
    {
        this->check_receiver(index, packet->flow);
    }
    slot.host->on_packet(*packet, this->clients.work_of(packet->request));
}

void soak_world::check_receiver(std::size_t index, const flow_endpoints& flow)
{
    if (!this->clients.is_open(flow))
    {
        return;
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        const host_slot& slot = *this->hosts[i];
        if (!slot.host->holds(flow))
        {
            continue;
        }
        const time_point now = this->queue.now();
        const std::string name = "host " + std::to_string(index);
        const bool arrives = i == index || this->is_disturbed(slot.node) ||
                             this->tracks[flow].was_idle;
        const bool is_store_stable = now >= this->store_disturbed_until;
        this->promises.on_flow_packet(
            now, flow, name, arrives || !is_store_stable);
        this->tolerated.on_flow_packet(
            now, flow, name, arrives || is_store_stable);
    }
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
    const std::string sender_name =
        from == this->node_by_address.end()
            ? to_string(sender)
            : this->nodes[from->second]->process->label();
    for (const auto& slot : this->hosts)
    {
        if (!slot->host->holds(flow) || !this->clients.is_open(flow))
        {
            continue;
        }
        ++this->reset_count;
        if (this->is_disturbed(slot->node) || this->tracks[flow].was_idle)
        {
            ++this->excused_reset_count;
            continue;
        }
        this->promises.on_reset_of_held_flow(
            this->queue.now(), flow,
            this->nodes[slot->node]->process->label() + " (reset by " +
                sender_name + ")");
    }
}

} // namespace masticslip::soak
