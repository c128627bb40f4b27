#include "flow_targets.hpp"

#include "flow/recording_outputs.hpp"
#include "log_story.hpp"
#include "masticslip/wire/flow_message_codec.hpp"
#include "node/member_document.hpp"
#include "node/policy_document.hpp"
#include "operator_documents.hpp"
#include "packet_header.hpp"
#include "platform/tests/samples.hpp"
#include "settings_file.hpp"
#include "upstream_status_endpoint.hpp"

#include <cstdlib>
#include <iostream>

namespace masticslip::testing
{

namespace
{

using namespace masticslip::test;
using namespace masticslip::platform::test;

constexpr const char* log_text =
    "m time=2026-01-01T00:00:01.250000 event=flow_placed flow=c>t "
    "peer=2.2.2.2:2 reason=\"a b\"\n";

std::vector<flow_message> message_samples(mutator& inputs)
{
    const flow_endpoints flow =
        test_flow(static_cast<std::uint16_t>(inputs.next() % 20));
    const auto number = static_cast<std::uint32_t>(inputs.next());
    upstream_load load;
    load.refusal = inputs.next() % 2 == 0 ? result_code::done
                                          : result_code::not_run_overloaded;
    load.in_flight = number % 30;
    load.is_cold = number % 3 == 0;
    companion_report report;
    report.service = number % 2 == 0 ? "meetups" : "papers";
    report.load = load;
    report.is_stopping = number % 7 == 0;
    report.has_left = number % 11 == 0;
    report.policy.position = {number % 2, number % 4};
    return {
        entry_hello{{{number % 3, number % 4}}, number % 5 != 0},
        report,
        flow_opened{flow, number, load},
        flow_refused{flow, result_code::not_run_upstream_cold, load},
        owner_query{flow, number % 3 == 0 ? 5'001 : number},
        owner_answer{flow, static_cast<ownership>(number % 3), {number % 9}},
        packet_returned{packet_bytes()},
        owner_hint{flow, {number % 9}}};
}

flow_packet random_packet(mutator& inputs)
{
    flow_packet packet = data_packet(
        test_flow(static_cast<std::uint16_t>(inputs.next() % 20)),
        static_cast<std::uint32_t>(inputs.next() % 3'000),
        inputs.next() % 2 == 0 ? 5'001
                               : static_cast<std::uint32_t>(inputs.next()),
        static_cast<std::uint16_t>(inputs.next() % 2 * 100));
    const std::uint64_t flags = inputs.next();
    packet.flags.opens = flags % 3 == 0;
    packet.flags.acknowledges = flags % 2 == 0;
    packet.flags.closes = flags % 5 == 0;
    packet.flags.resets = flags % 17 == 0;
    packet.flags.bounced = flags % 7 == 0;
    return packet;
}

} // namespace

void fuzz_flow_messages(mutator& inputs, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto samples = message_samples(inputs);
        const bytes valid = encode_flow_message(samples[i % samples.size()]);
        failure_reason reason;
        static_cast<void>(decode_flow_message(inputs.mutate(valid), reason));
        static_cast<void>(decode_flow_message(inputs.random_octets(), reason));
    }
}

void fuzz_flow_cores(mutator& inputs, std::size_t count)
{
    recording_event_sink events;
    recording_entry_output entry_effects;
    recording_companion_output companion_effects;
    entry_flow_core entry({"kgl-nyr", 100}, entry_effects, events);
    companion_flow_core companion(
        {"side-1", "meetups", "kgl-nyr", {1, 2}}, companion_effects, events);
    entry.on_policy(at(std::chrono::milliseconds(0)), test_policy(1));
    companion.on_policy(at(std::chrono::milliseconds(0)), test_policy(1));
    time_point now = at(std::chrono::milliseconds(1));
    for (std::size_t i = 0; i < count; ++i)
    {
        now += duration(inputs.next() % 40'000);
        const instance_id peer{inputs.next() % 9};
        const auto samples = message_samples(inputs);
        const auto& message = samples[inputs.next() % samples.size()];
        entry.on_message(now, peer, message);
        companion.on_message(now, peer, message);
        entry.on_caller_packet(now, random_packet(inputs));
        entry.on_returned_packet(now, peer, random_packet(inputs));
        companion.on_caller_packet(now, peer, random_packet(inputs));
        companion.on_upstream_packet(now, random_packet(inputs));
        upstream_status status;
        status.incarnation = {
            "i", std::chrono::milliseconds(inputs.next() % 3)};
        status.sequence = inputs.next() % 50;
        status.is_draining = inputs.next() % 9 == 0;
        companion.on_status(now, status);
        entry.on_tick(now);
        companion.on_tick(now);
        entry_effects = {};
        companion_effects = {};
        events.events.clear();
    }
}

namespace
{

/// Keys of the store have at most 200 bytes.
constexpr std::size_t max_key_part = 188;

/// Ends the program unless companions take what an entry has read.
void check_is_taken_by_peers(const policy_reading& reading)
{
    if (!reading.value)
    {
        return;
    }
    failure_reason reason;
    const time_point now{};
    if (!parse_policy(
            serialize_policy(policy({0, 1}, *reading.value), now), now, reason))
    {
        std::cerr << "refused by peers: " << reason.text << '\n';
        std::abort();
    }
}

} // namespace

void fuzz_platform(mutator& inputs, std::size_t count)
{
    const platform::packet_header_codec codec;
    const platform::operator_documents documents;
    const bytes reset = codec.encode_reset(test_flow(1), 7);
    for (std::size_t i = 0; i < count; ++i)
    {
        failure_reason reason;
        const bytes datagram = inputs.mutate(reset);
        if (codec.decode(datagram, packet_origin::upstream, reason))
        {
            static_cast<void>(codec.without_transit_fields(datagram));
        }
    }
    fuzz_text(
        inputs, count, status_text,
        [](const std::string& text)
        {
            failure_reason reason;
            static_cast<void>(platform::parse_status("i-1", text, reason));
            static_cast<void>(platform::parse_departure("i-1", text, reason));
        });
    fuzz_text(
        inputs, count, document_text,
        [&documents](const std::string& text)
        {
            std::map<std::string, std::string> accepted{
                {"op/config", document_text}};
            const policy_reading reading = documents.read(
                {{"op/config", text},
                 {"op/evacuate/" + text.substr(0, max_key_part), ""}},
                accepted);
            check_is_taken_by_peers(reading);
        });
    fuzz_text(
        inputs, count, settings_text,
        [](const std::string& text)
        {
            std::vector<std::string> faults;
            static_cast<void>(platform::parse_settings(text, faults));
        });
    fuzz_text(
        inputs, count,
        serialize_member({{7}, "n", "meetups", "kgl-nyr", {1, 2}}),
        [](const std::string& text)
        {
            failure_reason reason;
            static_cast<void>(parse_member(text, reason));
        });
    fuzz_text(
        inputs, count, log_text,
        [](const std::string& text)
        {
            log_story story;
            story.add("log", text);
            static_cast<void>(story.clock_skews(story.flow_records("c>t")));
        });
}

} // namespace masticslip::testing
