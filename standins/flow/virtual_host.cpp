#include "virtual_host.hpp"

namespace masticslip::standin
{

namespace
{

/// Distance between the initial sequence numbers of successive flows; larger
/// than a window.
constexpr std::uint32_t sequence_step = 7'654'321;
constexpr std::uint16_t answer_size = 600;

} // namespace

void virtual_host::start(bool is_cold)
{
    ++this->incarnation_number;
    this->alive = true;
    this->is_draining = false;
    this->flows.clear();
    this->waiting.clear();
    this->busy = 0;
    this->status_sequence = 0;
    this->started = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->queue.now().time_since_epoch());
    this->cold_until =
        is_cold ? this->queue.now() + this->shape.cold_time : this->queue.now();
}

void virtual_host::crash(bool bounces)
{
    this->alive = false;
    this->is_bouncing = bounces;
    ++this->incarnation_number;
}

upstream_status virtual_host::next_status()
{
    upstream_status status;
    status.incarnation = {this->id, this->started};
    status.sequence = ++this->status_sequence;
    status.service = this->shape.service;
    status.failure_domain = this->shape.failure_domain;
    status.concurrency = this->shape.slots;
    status.is_draining = this->is_draining;
    if (this->is_cold())
    {
        status.cold_for = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->cold_until - this->queue.now());
    }
    return status;
}

void virtual_host::on_packet(const virtual_packet& packet, duration work)
{
    if (!this->alive)
    {
        if (this->is_bouncing)
        {
            this->bounce(packet);
        }
        return;
    }
    const auto found = this->flows.find(packet.flow);
    if (packet.flags.opens)
    {
        flow_state& flow = this->flows[packet.flow];
        if (flow.sequence == 0)
        {
            flow.sequence = this->next_sequence += sequence_step;
            this->openings.push_back(this->queue.now());
        }
        virtual_packet accept;
        accept.flow = packet.flow;
        accept.from_caller = false;
        accept.flags.opens = true;
        accept.flags.acknowledges = true;
        accept.sequence = flow.sequence;
        this->send(accept);
        return;
    }
    const bool is_known_flow = found != this->flows.end() &&
                               packet.acknowledged == found->second.sequence;
    if (!is_known_flow)
    {
        this->bounce(packet);
        return;
    }
    found->second.open = true;
    this->take_data(found->second, packet, work);
}

void virtual_host::bounce(const virtual_packet& packet)
{
    virtual_packet bounced = packet;
    bounced.flags.bounced = true;
    this->send(bounced);
}

void virtual_host::take_data(
    flow_state& flow, const virtual_packet& packet, duration work)
{
    if (packet.payload_size == 0)
    {
        return;
    }
    if (flow.request != packet.request)
    {
        flow.request = packet.request;
        flow.parts.clear();
        flow.running = false;
        flow.answer.reset();
    }
    if (flow.answer)
    {
        this->send(*flow.answer);
        return;
    }
    flow.parts.insert(packet.part);
    if (flow.running || flow.parts.size() < packet.parts)
    {
        return;
    }
    flow.running = true;
    const job item{packet.flow, packet.request, work};
    if (this->waiting.size() >= this->shape.queue)
    {
        this->answer(item, true);
        return;
    }
    this->waiting.push_back(item);
    this->start_work();
}

void virtual_host::start_work()
{
    while (this->busy < this->shape.slots && !this->waiting.empty())
    {
        const job item = this->waiting.front();
        this->waiting.pop_front();
        ++this->busy;
        ++this->runs[item.request];
        if (this->on_run)
        {
            this->on_run(item.request);
        }
        const double factor = this->is_cold() ? this->shape.cold_factor : 1.0;
        const auto work = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, duration::period>(item.work) *
            factor);
        const std::uint64_t of_incarnation = this->incarnation_number;
        this->queue.after(
            work,
            [this, item, of_incarnation]
            {
                if (of_incarnation != this->incarnation_number)
                {
                    return;
                }
                --this->busy;
                this->answer(item, false);
                this->start_work();
            });
    }
}

void virtual_host::answer(const job& item, bool not_run)
{
    virtual_packet packet;
    packet.flow = item.flow;
    packet.from_caller = false;
    packet.flags.acknowledges = true;
    packet.sequence = this->flows[item.flow].sequence;
    packet.payload_size = answer_size;
    packet.request = item.request;
    packet.not_run = not_run;
    // A draining upstream closes each flow after its next answer.
    packet.flags.closes = this->is_draining;
    flow_state& flow = this->flows[item.flow];
    if (flow.request == item.request)
    {
        flow.answer = packet;
    }
    this->send(packet);
}

} // namespace masticslip::standin
