// Fake upstreams of the virtual fleet.

#include "virtual_nodes.hpp"

#include <algorithm>

namespace masticslip::testing
{

void virtual_fleet::publish()
{
    ++this->board_version;
    for (auto& node : this->companions)
    {
        for (const auto& [token, request] : node->upstream.observers)
        {
            if (node->upstream.alive && !node->upstream.silent)
            {
                this->upstream_answer(
                    *node, request, coap_code::content, "board", true);
            }
        }
    }
}

void virtual_fleet::upstream_receive(
    companion_node& node, const coap_message& message)
{
    fake_upstream& upstream = node.upstream;
    if (!upstream.alive)
    {
        return;
    }
    ++upstream.packets;
    upstream.last_packet = this->clock;
    if (message.path() == "/masticslip/cancel")
    {
        upstream.active_requests.erase(message.token);
        upstream.observers.erase(message.token);
        return;
    }
    if (message.find_uint(coap_option_number::observe) == 1U)
    {
        upstream.observers.erase(message.token);
        return;
    }
    if (!message.is_request())
    {
        return;
    }
    if (upstream.refuses)
    {
        this->upstream_answer(
            node, message, coap_code::service_unavailable, "", false);
        return;
    }
    const auto in_flight =
        static_cast<std::uint32_t>(upstream.active_requests.size()) + 1;
    upstream.peak = std::max(upstream.peak, in_flight);
    if (this->clock < upstream.cold_until)
    {
        upstream.peak_cold = std::max(upstream.peak_cold, in_flight);
        if (in_flight > cold_collapse_limit)
        {
            ++upstream.collapses;
            this->restart_upstream(node.index);
            upstream.alive = false;
            this->schedule(
                this->clock + collapse_time,
                [&upstream] { upstream.alive = true; });
            return;
        }
    }
    const std::string id = text_of(message.payload);
    if (!id.empty())
    {
        ++this->request_records[std::stoul(id)].deliveries;
    }
    fake_upstream::active_request item;
    item.request = message;
    item.deadline =
        this->clock +
        std::chrono::milliseconds(
            message.find_uint(coap_option_number::deadline).value_or(60000));
    upstream.active_requests[message.token] = item;
}

void virtual_fleet::upstream_tick(companion_node& node)
{
    fake_upstream& upstream = node.upstream;
    if (!upstream.alive)
    {
        return;
    }
    const bool cold = this->clock < upstream.cold_until;
    const std::uint32_t slots = cold ? 1 : this->options.upstream_slots;
    upstream.busy_time +=
        double(upstream.active_requests.size()) * double(tick_interval.count());
    std::uint32_t running = 0;
    std::vector<bytes> finished;
    for (auto& [token, item] : upstream.active_requests)
    {
        if (!item.running && running < slots)
        {
            item.running = true;
            item.ends = this->clock +
                        this->options.service_time * (cold ? cold_slowdown : 1);
        }
        running += item.running ? 1 : 0;
        if (item.running && this->clock >= item.ends)
        {
            finished.push_back(token);
        }
    }
    for (const bytes& token : finished)
    {
        const auto entry = upstream.active_requests.extract(token);
        if (this->clock <= entry.mapped().deadline)
        {
            ++upstream.completed;
            this->upstream_execute(node, entry.mapped().request);
        }
    }
    if (this->clock >= node.next_announcement && node.core &&
        this->clock >= node.frozen_until)
    {
        node.next_announcement = this->clock + announce_interval;
        node.core->on_announcement(
            this->clock, {upstream.service, upstream.epoch, upstream.draining});
    }
}

void virtual_fleet::upstream_execute(
    companion_node& node, const coap_message& request)
{
    if (request.path() == "/board")
    {
        node.upstream.observers[request.token] = request;
        this->upstream_answer(node, request, coap_code::content, "board", true);
        return;
    }
    const std::string id = text_of(request.payload);
    ++this->request_records[std::stoul(id)].executions;
    if (!node.upstream.silent)
    {
        this->upstream_answer(node, request, coap_code::changed, "ok", false);
    }
}

void virtual_fleet::upstream_answer(
    companion_node& node,
    const coap_message& request,
    coap_code code,
    const std::string& text,
    bool observe)
{
    coap_message answer;
    answer.type = coap_type::non_confirmable;
    answer.code = code;
    answer.token = request.token;
    answer.payload = bytes_of(text);
    if (observe)
    {
        answer.set_uint(coap_option_number::observe, this->board_version);
    }
    const bytes datagram = this->codec.encode(answer);
    this->schedule(
        this->clock,
        [this, &node, datagram]
        {
            if (node.core && this->clock >= node.frozen_until)
            {
                node.core->on_upstream_datagram(this->clock, datagram);
            }
        });
}

} // namespace masticslip::testing
