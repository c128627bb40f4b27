#include "masticslip/wire/flow_message_codec.hpp"

#include "message_archive.hpp"

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>

namespace masticslip
{

namespace
{

using namespace detail;

/// Maximum size of a control datagram: a returned packet and its envelope.
constexpr std::size_t max_control_datagram = 2'048;

template <class Archive, class Value>
void endpoint_field(Archive& archive, Value& value)
{
    archive.plain(value.address);
    archive.plain(value.port);
}

template <class Archive, class Value>
void flow_ends_field(Archive& archive, Value& value)
{
    endpoint_field(archive, value.caller);
    endpoint_field(archive, value.target);
}

template <class Archive, class Value>
void result_code_field(Archive& archive, Value& value)
{
    if constexpr (Archive::is_reading)
    {
        std::uint16_t raw = 0;
        archive.plain(raw);
        value = static_cast<result_code>(raw);
        if (to_string(value) == "invalid")
        {
            throw decode_error("unknown result code");
        }
    }
    else
    {
        archive.plain(static_cast<std::uint16_t>(value));
    }
}

template <class Archive, class Value>
void microseconds_field(Archive& archive, Value& value)
{
    if constexpr (Archive::is_reading)
    {
        std::uint32_t raw = 0;
        archive.plain(raw);
        value = std::chrono::microseconds(raw);
    }
    else
    {
        // Values of more than an hour are cut off.
        const std::int64_t limit = std::numeric_limits<std::uint32_t>::max();
        archive.plain(static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(value.count(), 0, limit)));
    }
}

template <class Archive, class Value>
void load_field(Archive& archive, Value& value)
{
    archive.plain(value.in_flight);
    archive.plain(value.open_flows);
    archive.plain(value.concurrency);
    result_code_field(archive, value.refusal);
    archive.plain(value.is_cold);
    archive.plain(value.cold_capacity);
    microseconds_field(archive, value.request_time);
    archive.plain(value.request_samples);
    archive.plain(value.finished_per_second);
    archive.plain(value.on_probation);
    archive.plain(value.outcomes.answered);
    archive.plain(value.outcomes.failed);
    archive.plain(value.in_flight_limit);
}

template <class Archive, class Value>
void former_targets_field(Archive& archive, Value& value)
{
    auto count = static_cast<std::uint8_t>(value.size());
    archive.plain(count);
    if (count > max_former_targets)
    {
        throw decode_error("too many former targets");
    }
    if constexpr (Archive::is_reading)
    {
        value.resize(count);
    }
    for (auto& target : value)
    {
        endpoint_field(archive, target);
    }
}

template <class Archive, class Value>
void report_order_field(Archive& archive, Value& value)
{
    archive.plain(value.process);
    archive.plain(value.number);
}

template <class Archive, class Value>
void policy_mark_field(Archive& archive, Value& value)
{
    archive.plain(value.position.era);
    archive.plain(value.position.revision);
    archive.plain(value.configuration_era);
    archive.plain(value.version);
    archive.plain(value.digest);
    archive.plain(value.carried_digest);
}

template <class Archive, is_message<entry_hello> Message>
void flow_fields(Archive& archive, Message& message)
{
    policy_mark_field(archive, message.policy);
    archive.plain(message.is_listed);
    archive.plain(message.service_size);
    archive.plain(message.service_digest);
    report_order_field(archive, message.newest_report);
    microseconds_field(archive, message.policy_evidence_age);
}

template <class Archive, is_message<companion_report> Message>
void flow_fields(Archive& archive, Message& message)
{
    archive.text(message.name, max_name_size);
    archive.text(message.service, max_name_size);
    archive.text(message.failure_domain, max_name_size);
    endpoint_field(archive, message.packet_address);
    load_field(archive, message.load);
    policy_mark_field(archive, message.policy);
    archive.plain(message.entry_count);
    archive.plain(message.is_stopping);
    archive.plain(message.has_left);
    archive.plain(message.service_size);
    archive.plain(message.service_digest);
    archive.plain(message.is_registration_continuous);
    report_order_field(archive, message.order);
    former_targets_field(archive, message.former_targets);
    archive.plain(message.may_hold_other_flows);
    microseconds_field(archive, message.policy_evidence_age);
    archive.plain(message.entry_rank);
}

template <class Archive, is_message<flow_opened> Message>
void flow_fields(Archive& archive, Message& message)
{
    flow_ends_field(archive, message.flow);
    archive.plain(message.upstream_sequence);
    load_field(archive, message.load);
}

template <class Archive, is_message<flow_refused> Message>
void flow_fields(Archive& archive, Message& message)
{
    flow_ends_field(archive, message.flow);
    result_code_field(archive, message.reason);
    load_field(archive, message.load);
}

template <class Archive, is_message<owner_query> Message>
void flow_fields(Archive& archive, Message& message)
{
    flow_ends_field(archive, message.flow);
    archive.plain(message.acknowledged);
}

template <class Archive, is_message<owner_answer> Message>
void flow_fields(Archive& archive, Message& message)
{
    flow_ends_field(archive, message.flow);
    enum_field(archive, message.answer, ownership::owned);
    strong_type_field(archive, message.owner);
    archive.plain(message.acknowledged);
}

template <class Archive, is_message<owner_hint> Message>
void flow_fields(Archive& archive, Message& message)
{
    flow_ends_field(archive, message.flow);
    strong_type_field(archive, message.owner);
}

template <class Archive, is_message<packet_returned> Message>
void flow_fields(Archive& archive, Message& message)
{
    bytes_field(archive, message.packet);
}

template <std::size_t Index = 0>
flow_message read_kind(field_reader& reader, std::uint8_t kind)
{
    if constexpr (Index == std::variant_size_v<flow_message>)
    {
        throw decode_error("unknown message type");
    }
    else if (kind == Index)
    {
        std::variant_alternative_t<Index, flow_message> message;
        flow_fields(reader, message);
        return message;
    }
    else
    {
        return read_kind<Index + 1>(reader, kind);
    }
}

} // namespace

bytes encode_flow_message(const flow_message& message)
{
    bytes datagram(max_control_datagram);
    write_buffer buffer;
    buffer.reset(datagram);
    std::ostream stream(&buffer);
    field_writer writer(stream);
    writer.plain(flow_protocol_version);
    writer.plain(static_cast<std::uint8_t>(message.index()));
    std::visit(
        [&writer](const auto& fields) { flow_fields(writer, fields); },
        message);
    datagram.resize(buffer.written());
    return datagram;
}

std::optional<flow_message>
decode_flow_message(byte_view datagram, failure_reason& reason)
{
    reason = {};
    read_buffer buffer;
    buffer.reset(datagram);
    std::istream stream(&buffer);
    try
    {
        field_reader reader(stream, buffer);
        std::uint8_t version = 0;
        reader.plain(version);
        if (version != flow_protocol_version)
        {
            reason = {
                result_code::dropped_foreign_version,
                "unsupported protocol version " + std::to_string(version)};
            return std::nullopt;
        }
        std::uint8_t kind = 0;
        reader.plain(kind);
        return read_kind(reader, kind);
    }
    catch (const std::exception& error)
    {
        reason = {result_code::dropped_malformed, error.what()};
        return std::nullopt;
    }
}

} // namespace masticslip
