#pragma once
/// Nodes of the virtual fleet: the environment of each core.

#include "virtual_fleet.hpp"

#include <array>

namespace masticslip::testing
{

constexpr std::uint32_t entry_network = 0x0a000100;
constexpr std::uint32_t companion_network = 0x0a000200;
constexpr std::uint32_t caller_network = 0x0a010000;
constexpr std::uint16_t port = 7000;
constexpr duration announce_interval = std::chrono::milliseconds(300);
constexpr duration caller_timeout = std::chrono::milliseconds(500);
constexpr std::uint32_t max_transmissions = 6;
constexpr std::uint32_t max_echo_rounds = 4;
constexpr std::uint32_t cold_collapse_limit = 3;
constexpr int cold_slowdown = 3;
constexpr duration collapse_time = std::chrono::milliseconds(1500);

inline const shared_key key{1, 2,  3,  4,  5,  6,  7,  8,
                            9, 10, 11, 12, 13, 14, 15, 16};

inline instance_id entry_instance_id(std::size_t index)
{
    const auto host = static_cast<std::uint32_t>(index + 1);
    return {endpoint{entry_network + host, port}.packed()};
}

inline instance_id companion_instance_id(std::size_t index)
{
    const auto host = static_cast<std::uint32_t>(index + 1);
    return {endpoint{companion_network + host, port}.packed()};
}

inline std::string domain_name(std::size_t index)
{
    return "domain-" + std::to_string(index);
}

inline std::string text_of(const bytes& value)
{
    return {value.begin(), value.end()};
}

inline bytes bytes_of(const std::string& text)
{
    return {text.begin(), text.end()};
}

class virtual_fleet::counting_sink final : public event_sink
{
public:
    void on_event(time_point now, const core_event& event) override
    {
        const auto kind = static_cast<std::size_t>(event.kind);
        ++this->counts.at(kind);
        this->undated.at(kind) += now == time_point{} ? 1 : 0;
    }

    std::array<std::uint64_t, event_kind_count> counts{};
    /// Those of `counts` that were reported with time zero.
    std::array<std::uint64_t, event_kind_count> undated{};
};

struct virtual_fleet::entry_node final : entry_output
{
    entry_node(virtual_fleet& fleet, std::size_t index)
        : fleet(fleet), id(entry_instance_id(index)), index(index)
    {
    }

    void start()
    {
        const incarnation incarnation_number{this->fleet.next_incarnation++};
        this->wire = std::make_unique<message_codec>(
            wire_identity{this->id, incarnation_number},
            std::vector<shared_key>{key});
        entry_settings settings;
        settings.self = this->id;
        settings.incarnation_number = incarnation_number;
        settings.name = "entry-" + std::to_string(this->index);
        settings.failure_domain =
            domain_name(this->index % this->fleet.options.failure_domains);
        settings.seeds = {entry_instance_id(0), entry_instance_id(1)};
        settings.cache_capacity = 1000;
        settings.random_seed = incarnation_number.value;
        this->core =
            std::make_unique<entry_core>(settings, *this, *this->fleet.sink);
    }

    void send(instance_id to, const internal_message& message) override
    {
        const generation number =
            this->core ? this->core->config().number() : 0;
        this->fleet.send_internal(
            this->id, to, this->wire->encode(to, number, message));
    }

    void send_to_caller(const flow_key& flow, byte_view payload) override
    {
        const std::size_t caller = flow.caller.address - caller_network;
        const bytes copy(payload.begin(), payload.end());
        this->fleet.transmit(
            this->id, {},
            [this, caller, copy] { this->fleet.caller_receive(caller, copy); });
    }

    void refuse_caller(
        const flow_key&, byte_view, result_code, std::chrono::seconds) override
    {
        ++this->refusals;
    }

    void on_configuration(const configuration&) override
    {
    }

    virtual_fleet& fleet;
    instance_id id;
    std::size_t index;
    std::unique_ptr<message_codec> wire;
    std::unique_ptr<entry_core> core;
    time_point frozen_until;
    std::uint64_t refusals = 0;
};

struct virtual_fleet::companion_node final : companion_output
{
    companion_node(virtual_fleet& fleet, std::size_t index, std::size_t domain)
        : fleet(fleet), id(companion_instance_id(index)), index(index),
          domain(domain)
    {
        this->upstream.service = virtual_service;
    }

    void start()
    {
        const incarnation incarnation_number{this->fleet.next_incarnation++};
        this->wire = std::make_unique<message_codec>(
            wire_identity{this->id, incarnation_number},
            std::vector<shared_key>{key});
        companion_settings settings;
        settings.self = this->id;
        settings.incarnation_number = incarnation_number;
        settings.name = "companion-" + std::to_string(this->index);
        settings.failure_domain = domain_name(this->domain);
        settings.service = virtual_service;
        settings.seeds = {entry_instance_id(0), entry_instance_id(1)};
        settings.keys = {key};
        settings.policy = this->fleet.options.policy;
        if (this->fleet.options.adjust_settings)
        {
            this->fleet.options.adjust_settings(settings);
        }
        this->core = std::make_unique<companion_core>(
            settings, *this, *this->fleet.sink, this->fleet.codec);
    }

    void send(instance_id to, const internal_message& message) override
    {
        const generation number =
            this->core ? this->core->config().number() : 0;
        this->fleet.send_internal(
            this->id, to, this->wire->encode(to, number, message));
    }

    void send_to_upstream(byte_view datagram) override
    {
        const auto message = this->fleet.codec.decode(datagram);
        this->fleet.schedule(
            this->fleet.clock,
            [this, message]
            {
                if (message)
                {
                    this->fleet.upstream_receive(*this, *message);
                }
            });
    }

    void send_datagram_to_upstream(const flow_key&, byte_view) override
    {
        ++this->upstream.packets;
        this->upstream.last_packet = this->fleet.clock;
    }

    void close_datagram_flow(const flow_key&) override
    {
    }

    virtual_fleet& fleet;
    instance_id id;
    std::size_t index;
    std::size_t domain;
    std::unique_ptr<message_codec> wire;
    std::unique_ptr<companion_core> core;
    time_point frozen_until;
    std::deque<bytes> frozen_datagrams;
    fake_upstream upstream;
    time_point next_announcement;
};

struct virtual_fleet::caller_node
{
    struct exchange
    {
        coap_message request;
        std::size_t record = 0;
        std::uint32_t transmissions = 0;
        std::uint32_t echo_rounds = 0;
        time_point repeat_at;
        bool is_observe_request = false;
    };

    std::size_t index = 0;
    bytes echo;
    std::uint16_t next_message_id = 1;
    std::map<bytes, exchange> exchanges;
    bytes watch_token;
    watch_state watch;
};

} // namespace masticslip::testing
