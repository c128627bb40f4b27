// Fuzz targets for every decoder and core. Each gets a given number of mutated
// valid inputs and random octets, generated from a given seed. A crash, a
// sanitizer report or an uncaught exception fails the run.
//
//     fuzz_targets TARGET INPUTS SEED
//
// Targets: announcement, coap, wire, configuration, audit, entry, companion,
// flow, flow_cores, platform, all.

#include "flow_targets.hpp"
#include "libcoap_codec.hpp"
#include "masticslip/core/companion_core.hpp"
#include "masticslip/core/configuration.hpp"
#include "masticslip/core/entry_core.hpp"
#include "masticslip/wire/message_codec.hpp"
#include "mutator.hpp"
#include "platform/change_log.hpp"
#include "support/null_outputs.hpp"

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>

#include <sodium.h>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;

const shared_key key{1, 2, 3};
const instance_id self{endpoint{0x7f000001, 7000}.packed()};
const instance_id peer{endpoint{0x7f000002, 7000}.packed()};

constexpr const char* document =
    R"({"schema":1,"generation":1,"services":[{"name":"meetups",)"
    R"("address":"127.0.0.1:5683"}],"failure_domains":["a","b"],)"
    R"("withdrawn_domains":["b"],"presets":[{"name":"p","weights":{"a":2},)"
    R"("limits":{"max_in_flight":3}}],"preset_in_force":"p"})";

std::vector<bytes> coap_samples()
{
    const libcoap_codec codec;
    coap_message request;
    request.code = coap_code::post;
    request.token = {1, 2, 3, 4};
    request.add_text(coap_option_number::uri_path, "signup");
    request.set(coap_option_number::echo, bytes(40, 1));
    request.set_uint(coap_option_number::block1, 0x1e);
    request.set_uint(coap_option_number::observe, 0);
    request.set_uint(coap_option_number::deadline, 1000);
    request.payload = {'x'};
    coap_message acknowledgement;
    acknowledgement.type = coap_type::acknowledgement;
    acknowledgement.message_id = 7;
    coap_message notification = request;
    notification.code = coap_code::content;
    return {
        codec.encode(request), codec.encode(acknowledgement),
        codec.encode(notification)};
}

std::vector<internal_message> wire_samples(const bytes& payload)
{
    member_record record;
    record.id = peer;
    record.incarnation_number = {1};
    record.version = 1;
    record.service = make_service_id("meetups");
    record.name = "name";
    forward_message forward;
    forward.flow = {{0x7f000001, 4000}, make_service_id("meetups")};
    forward.mode = forward_mode::look_up;
    forward.candidates.add(self);
    forward.payload = payload;
    reply_message reply;
    reply.payload = payload;
    heartbeat_answer answer;
    answer.entries = {peer};
    answer.siblings = {{peer, {1}}};
    watch_handoff handoff;
    handoff.request = payload;
    handoff.flow = forward.flow;
    return {
        forward,
        reply,
        heartbeat{record, {}},
        answer,
        gossip_message{{record}},
        digest_message{},
        config_push{document},
        handoff,
        flow_query{forward.flow, 1},
        flow_query_answer{}};
}

void fuzz_coap(mutator& inputs, std::size_t count)
{
    const libcoap_codec codec;
    const auto samples = coap_samples();
    for (std::size_t i = 0; i < count; ++i)
    {
        const bytes input = i % 4 == 0
                                ? inputs.random_octets()
                                : inputs.mutate(samples[i % samples.size()]);
        const auto message = codec.decode(input);
        if (message)
        {
            // Encoding and decoding again must give an equal message.
            const auto again = codec.decode(codec.encode(*message));
            if (!again || !(*again == *message))
            {
                std::cerr << "coap: round trip changed the message of input "
                          << i << '\n';
                std::abort();
            }
        }
    }
}

void fuzz_wire(mutator& inputs, std::size_t count)
{
    const bytes payload = coap_samples().front();
    const auto samples = wire_samples(payload);
    message_codec sender({peer, {1}}, {key});
    for (std::size_t i = 0; i < count; ++i)
    {
        message_codec receiver({self, {1}}, {key});
        const auto view = sender.encode(self, 1, samples[i % samples.size()]);
        bytes input = inputs.mutate({view.begin(), view.end()});
        constexpr std::size_t tag_size = 16;
        if (i % 4 != 0 && input.size() > tag_size)
        {
            // Signs the mutated content, so that it passes authentication.
            crypto_shorthash_siphashx24(
                input.data(), input.data() + tag_size, input.size() - tag_size,
                key.data());
        }
        failure_reason reason;
        static_cast<void>(receiver.decode(input, reason));
    }
}

void fuzz_configuration(mutator& inputs, std::size_t count)
{
    fuzz_text(
        inputs, count, document,
        [](const std::string& text)
        {
            failure_reason reason;
            static_cast<void>(parse_configuration(text, reason));
        });
}

void fuzz_audit(mutator& inputs, std::size_t count)
{
    audit_record record;
    record.number = 3;
    record.change_id = "c-1";
    record.differences = {"a", "b"};
    fuzz_text(
        inputs, count, serialize_audit(record),
        [](const std::string& text)
        {
            failure_reason reason;
            static_cast<void>(parse_audit(text, reason));
        });
}

void fuzz_announcement(mutator& inputs, std::size_t count)
{
    fuzz_text(
        inputs, count, R"({"service":"meetups","epoch":7,"draining":true})",
        [](const std::string& text)
        {
            const bytes octets(text.begin(), text.end());
            static_cast<void>(parse_announcement(octets));
        });
}

/// Feeds a core well-formed messages and mutated packets in random order.
/// `feed_packet` passes a payload to the core as a datagram.
template <class Core, class FeedPacket>
void fuzz_core(
    mutator& inputs, std::size_t count, Core& core, FeedPacket feed_packet)
{
    const auto samples = coap_samples();
    time_point now{1s};
    for (std::size_t i = 0; i < count; ++i)
    {
        now += duration(inputs.next() % 20'000);
        const bytes payload = inputs.mutate(samples[i % samples.size()]);
        const auto messages = wire_samples(payload);
        const auto& message = messages[inputs.next() % messages.size()];
        const message_header header{
            peer, {inputs.next() % 3}, inputs.next() % 3};
        core.on_message(now, header, message);
        feed_packet(now, payload);
        core.on_tick(now);
    }
}

void fuzz_entry(mutator& inputs, std::size_t count)
{
    null_event_sink sink;
    null_entry_output output;
    entry_settings settings;
    settings.self = self;
    settings.incarnation_number = {1};
    settings.cache_capacity = 100;
    entry_core core(settings, output, sink);
    fuzz_core(
        inputs, count, core,
        [&core](time_point now, const bytes& payload)
        {
            const flow_key flow{{0x7f000001, 4000}, make_service_id("meetups")};
            core.on_caller_packet(now, flow, payload, {});
        });
}

void fuzz_companion(mutator& inputs, std::size_t count)
{
    null_event_sink sink;
    null_companion_output output;
    const libcoap_codec codec;
    companion_settings settings;
    settings.self = self;
    settings.incarnation_number = {1};
    settings.service = "meetups";
    settings.failure_domain = "a";
    settings.keys = {key};
    companion_core core(settings, output, sink, codec);
    fuzz_core(
        inputs, count, core,
        [&](time_point now, const bytes& payload)
        {
            core.on_announcement(
                now, {"meetups", inputs.next() % 3, inputs.next() % 5 == 0});
            core.on_upstream_datagram(now, payload);
        });
}

using fuzz_target = std::function<void(mutator&, std::size_t)>;

const std::map<std::string, fuzz_target>& target_table()
{
    static const std::map<std::string, fuzz_target> table{
        {"announcement", fuzz_announcement},
        {"audit", fuzz_audit},
        {"coap", fuzz_coap},
        {"companion", fuzz_companion},
        {"configuration", fuzz_configuration},
        {"entry", fuzz_entry},
        {"flow", fuzz_flow_messages},
        {"flow_cores", fuzz_flow_cores},
        {"platform", fuzz_platform},
        {"wire", fuzz_wire}};
    return table;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4 || sodium_init() < 0)
    {
        std::cerr << "usage: fuzz_targets TARGET INPUTS SEED\n";
        return 2;
    }
    const std::string selected = argv[1];
    const std::size_t count = std::strtoull(argv[2], nullptr, 10);
    const std::uint64_t seed = std::strtoull(argv[3], nullptr, 10);
    bool found = false;
    for (const auto& [name, target] : target_table())
    {
        if (selected == name || selected == "all")
        {
            found = true;
            mutator inputs(seed);
            target(inputs, count);
            std::cout << name << ": " << count << " inputs\n";
        }
    }
    return found ? EXIT_SUCCESS : 2;
}
