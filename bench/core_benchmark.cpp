// Google Benchmark: routing decision per packet at an entry with 400,000 cached
// flows, and the codecs on the packet path.

#include "libcoap_codec.hpp"
#include "masticslip/core/entry_core.hpp"
#include "masticslip/wire/message_codec.hpp"
#include "support/null_outputs.hpp"

#include <benchmark/benchmark.h>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;

constexpr std::uint32_t flow_count = 400'000;
/// Keeps the compiler from optimizing the routing decision away.
class observed_output final : public null_entry_output
{
public:
    void send(instance_id to, const internal_message&) override
    {
        benchmark::DoNotOptimize(to);
    }
};

flow_key make_flow(std::uint32_t number)
{
    return {{0x0a000000 + number, 4000}, make_service_id("meetups")};
}

/// An entry with one companion that owns all flows.
struct loaded_entry
{
    loaded_entry() : core(make_settings(), output, sink)
    {
        failure_reason reason;
        this->core.offer_configuration(this->now, small_document, reason);
        member_record record;
        record.id = {99};
        record.incarnation_number = {1};
        record.version = 1;
        record.service = make_service_id("meetups");
        const message_header header{{99}, {1}, 1};
        this->core.on_message(this->now, header, heartbeat{record, {}});
        for (std::uint32_t i = 0; i < flow_count; ++i)
        {
            reply_message reply;
            reply.flow = make_flow(i);
            this->core.on_message(this->now, header, reply);
        }
    }

    static entry_settings make_settings()
    {
        entry_settings settings;
        settings.self = {1};
        settings.incarnation_number = {1};
        settings.cache_capacity = 2 * flow_count;
        return settings;
    }

    time_point now{1s};
    observed_output output;
    null_event_sink sink;
    entry_core core;
};

void decide_cached_packet(benchmark::State& state)
{
    loaded_entry entry;
    const bytes payload(64, 7);
    std::uint32_t number = 0;
    for (auto _ : state)
    {
        number = (number + 7919) % flow_count;
        entry.core.on_caller_packet(entry.now, make_flow(number), payload, {});
    }
}
BENCHMARK(decide_cached_packet);

void encode_forward(benchmark::State& state)
{
    message_codec codec({{1}, {1}}, {shared_key{1}});
    const bytes payload(64, 7);
    forward_message message;
    message.payload = payload;
    const internal_message body = message;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(codec.encode({2}, 1, body).data());
    }
}
BENCHMARK(encode_forward);

void decode_forward(benchmark::State& state)
{
    message_codec sender({{1}, {1}}, {shared_key{1}});
    message_codec receiver({{2}, {1}}, {shared_key{1}});
    const bytes payload(64, 7);
    forward_message message;
    message.payload = payload;
    const internal_message body = message;
    for (auto _ : state)
    {
        failure_reason reason;
        benchmark::DoNotOptimize(
            receiver.decode(sender.encode({2}, 1, body), reason));
    }
}
BENCHMARK(decode_forward);

void decode_coap(benchmark::State& state)
{
    const libcoap_codec codec;
    coap_message request;
    request.code = coap_code::post;
    request.token = {1, 2, 3, 4};
    request.add_text(coap_option_number::uri_path, "signup");
    request.payload = bytes(32, 'x');
    const bytes datagram = codec.encode(request);
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(codec.decode(datagram));
    }
}
BENCHMARK(decode_coap);

} // namespace

BENCHMARK_MAIN();
