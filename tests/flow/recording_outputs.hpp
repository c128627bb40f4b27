#pragma once
/// Output interfaces of the layer-4 cores that record each call, and packets
/// and a policy for tests.

#include "masticslip/flow/companion_flow_core.hpp"
#include "masticslip/flow/entry_flow_core.hpp"

#include <string>
#include <utility>
#include <vector>

namespace masticslip::test
{

/// A control message and its recipient.
struct sent_message
{
    instance_id to;
    flow_message body;
};

/// Records events in order.
class recording_event_sink final : public flow_event_sink
{
public:
    void on_event(time_point, const flow_event& event) override
    {
        this->events.push_back(event);
    }

    [[nodiscard]] std::size_t count(flow_event_kind kind) const
    {
        std::size_t result = 0;
        for (const auto& event : this->events)
        {
            result += event.kind == kind ? 1 : 0;
        }
        return result;
    }

    std::vector<flow_event> events;
};

/// The sent messages of one type, in order.
template <class Message>
std::vector<Message> messages_of(const std::vector<sent_message>& sent)
{
    std::vector<Message> result;
    for (const auto& item : sent)
    {
        if (const auto* body = std::get_if<Message>(&item.body))
        {
            result.push_back(*body);
        }
    }
    return result;
}

/// Records the output calls of a companion_flow_core.
class recording_companion_output final : public companion_flow_output
{
public:
    void send_to_upstream(byte_view) override
    {
        ++this->to_upstream;
    }

    void send_to_caller(const endpoint&, byte_view) override
    {
        ++this->to_caller;
    }

    void reset_caller(const flow_endpoints& flow, std::uint32_t) override
    {
        this->resets.push_back(flow);
    }

    void send(instance_id to, const flow_message& message) override
    {
        this->sent.push_back({to, message});
    }

    void fetch_policy(instance_id from) override
    {
        this->fetches.push_back(from);
    }

    void on_not_listed() override
    {
        ++this->not_listed;
    }

    void check_presence() override
    {
        ++this->presence_checks;
    }

    std::size_t to_upstream = 0;
    std::size_t to_caller = 0;
    std::size_t not_listed = 0;
    std::size_t presence_checks = 0;
    std::vector<flow_endpoints> resets;
    std::vector<sent_message> sent;
    std::vector<instance_id> fetches;
};

/// Records the output calls of an entry_flow_core.
class recording_entry_output final : public entry_flow_output
{
public:
    void send_packet(const endpoint& companion, byte_view) override
    {
        this->packets.push_back(companion);
    }

    void
    reset_caller(const flow_endpoints& flow, std::uint32_t sequence) override
    {
        this->resets.push_back(flow);
        this->reset_sequences.push_back(sequence);
    }

    void send(instance_id to, const flow_message& message) override
    {
        this->sent.push_back({to, message});
    }

    void fetch_policy(instance_id from) override
    {
        this->fetches.push_back(from);
    }

    std::vector<endpoint> packets;
    std::vector<flow_endpoints> resets;
    std::vector<std::uint32_t> reset_sequences;
    std::vector<sent_message> sent;
    std::vector<instance_id> fetches;
};

/// The time point at an offset from the start of a test.
inline time_point at(std::chrono::milliseconds offset)
{
    return time_point(std::chrono::hours(1)) + offset;
}

constexpr endpoint test_target{0xC6120001, 443};
constexpr endpoint other_target{0xC6120002, 443};

/// A flow to test_target, with a caller port derived from the number.
inline flow_endpoints test_flow(std::uint16_t number)
{
    return {
        {0x64400007, static_cast<std::uint16_t>(40'000 + number)}, test_target};
}

/// A policy with two services of one route each, and withdrawn domains.
inline std::shared_ptr<const policy> test_policy(
    std::uint64_t revision,
    std::vector<std::string> withdrawn = {},
    double cold_rate = 0)
{
    configuration value;
    value.number = revision;
    service_definition meetups;
    meetups.name = "meetups";
    meetups.protocol = service_protocol::datagram;
    meetups.cold_flows_per_second = cold_rate;
    service_definition papers = meetups;
    papers.name = "papers";
    value.services = {meetups, papers};
    route_definition first;
    first.name = "board";
    first.address = test_target;
    first.service = "meetups";
    first.kind = request_kind::safe;
    route_definition second = first;
    second.name = "intake";
    second.address = other_target;
    second.service = "papers";
    second.kind = request_kind::upload;
    value.routes = {first, second};
    value.withdrawn_domains = std::move(withdrawn);
    return std::make_shared<policy>(
        store_position{0, revision}, std::move(value));
}

/// Mark of a policy that was read at a revision of era zero; its contents
/// differ from those of test_policy().
inline policy_mark mark_at(std::uint64_t revision)
{
    policy_mark result;
    result.position.revision = revision;
    result.version = revision;
    return result;
}

/// Raw bytes for every packet; the cores do not read them.
inline const bytes& packet_bytes()
{
    static const bytes value(32, 0);
    return value;
}

/// The packet with which a caller opens a flow.
inline flow_packet opening_packet(const flow_endpoints& flow)
{
    flow_packet packet;
    packet.flow = flow;
    packet.flags.opens = true;
    packet.sequence = 1'000;
    packet.raw = packet_bytes();
    return packet;
}

/// A data packet of a caller.
inline flow_packet data_packet(
    const flow_endpoints& flow,
    std::uint32_t sequence,
    std::uint32_t acknowledged,
    std::uint16_t size = 100)
{
    flow_packet packet;
    packet.flow = flow;
    packet.flags.acknowledges = true;
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.payload_size = size;
    packet.raw = packet_bytes();
    return packet;
}

/// The packet with which an upstream accepts a flow.
inline flow_packet
accepting_packet(const flow_endpoints& flow, std::uint32_t sequence)
{
    flow_packet packet = opening_packet(flow);
    packet.origin = packet_origin::upstream;
    packet.flags.acknowledges = true;
    packet.sequence = sequence;
    return packet;
}

} // namespace masticslip::test
