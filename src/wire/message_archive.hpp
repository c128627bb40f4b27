#pragma once
/// Field order of every internal message in cereal archives.
///
/// Every list has a maximum size, which is checked before memory is allocated.

#include "buffer_stream.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <stdexcept>
#include <string>

namespace masticslip::detail
{

constexpr std::size_t max_list_size = 256;
constexpr std::size_t max_name_size = 64;
constexpr std::size_t max_text_size = 64'000;

/// Thrown on a message with an invalid value or one that exceeds a limit.
class decode_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Writes fields to an archive; throws cereal::Exception on overflow.
class field_writer
{
public:
    static constexpr bool is_reading = false;

    explicit field_writer(std::ostream& stream) : archive(stream)
    {
    }

    template <class Value>
    void plain(const Value& value)
    {
        this->archive(value);
    }

    void sized_bytes(byte_view value)
    {
        this->archive(static_cast<std::uint32_t>(value.size()));
        this->archive(cereal::binary_data(
            const_cast<std::uint8_t*>(value.data()), value.size()));
    }

    void text(const std::string& value, std::size_t)
    {
        this->sized_bytes(
            {reinterpret_cast<const std::uint8_t*>(value.data()),
             value.size()});
    }

private:
    cereal::PortableBinaryOutputArchive archive;
};

/// Reads fields from an archive; throws decode_error or cereal::Exception on
/// malformed input.
class field_reader
{
public:
    static constexpr bool is_reading = true;

    field_reader(std::istream& stream, read_buffer& buffer)
        : archive(stream), buffer(buffer)
    {
    }

    template <class Value>
    void plain(Value& value)
    {
        this->archive(value);
    }

    void plain(bool& value)
    {
        std::uint8_t byte = 0;
        this->archive(byte);
        value = byte != 0;
    }

    void sized_bytes(byte_view& value)
    {
        std::uint32_t size = 0;
        this->archive(size);
        if (size > this->buffer.remaining())
        {
            throw decode_error("field size exceeds the datagram");
        }
        value = this->buffer.take(size);
    }

    void text(std::string& value, std::size_t limit)
    {
        byte_view content;
        this->sized_bytes(content);
        if (content.size() > limit)
        {
            throw decode_error("text exceeds its maximum size");
        }
        value.assign(content.begin(), content.end());
    }

private:
    cereal::PortableBinaryInputArchive archive;
    read_buffer& buffer;
};

/// `largest_value` is the largest valid enumerator; reading a larger value
/// throws decode_error.
template <class Archive, class Enum>
requires std::is_enum_v<std::remove_const_t<Enum>>
void enum_field(
    Archive& archive, Enum& value, std::remove_const_t<Enum> largest_value)
{
    if constexpr (Archive::is_reading)
    {
        std::uint8_t raw = 0;
        archive.plain(raw);
        if (raw > static_cast<std::uint8_t>(largest_value))
        {
            throw decode_error("enumeration value out of range");
        }
        value = static_cast<Enum>(raw);
    }
    else
    {
        archive.plain(static_cast<std::uint8_t>(value));
    }
}

/// `Value` is const when writing, so that one function serves both directions.
template <class Archive, class Value>
void strong_type_field(Archive& archive, Value& value)
{
    archive.plain(value.value);
}

template <class Archive, class Time>
void time_field(Archive& archive, Time& value)
{
    if constexpr (Archive::is_reading)
    {
        std::int64_t count = 0;
        archive.plain(count);
        value = time_point(duration(count));
    }
    else
    {
        archive.plain(std::int64_t{value.time_since_epoch().count()});
    }
}

template <class Archive, class Flow>
void flow_field(Archive& archive, Flow& flow)
{
    archive.plain(flow.caller.address);
    archive.plain(flow.caller.port);
    strong_type_field(archive, flow.service);
}

template <class Archive, class List, class Item>
void list_field(Archive& archive, List& list, std::size_t limit, Item item)
{
    if constexpr (Archive::is_reading)
    {
        std::uint16_t count = 0;
        archive.plain(count);
        if (count > limit)
        {
            throw decode_error("list exceeds its maximum size");
        }
        list.resize(count);
    }
    else
    {
        archive.plain(static_cast<std::uint16_t>(list.size()));
    }
    for (auto& element : list)
    {
        item(archive, element);
    }
}

template <class Archive, class Trace>
void trace_field(Archive& archive, Trace& trace)
{
    archive.plain(trace.trace_high);
    archive.plain(trace.trace_low);
    archive.plain(trace.parent_span);
}

template <class Archive, class Record>
void record_field(Archive& archive, Record& record)
{
    strong_type_field(archive, record.id);
    strong_type_field(archive, record.incarnation_number);
    archive.plain(record.version);
    enum_field(archive, record.role, member_role::companion);
    enum_field(archive, record.state, member_state::left);
    strong_type_field(archive, record.service);
    archive.plain(record.admin.address);
    archive.plain(record.admin.port);
    archive.text(record.failure_domain, max_name_size);
    archive.text(record.name, max_name_size);
}

template <class Archive, class List>
void candidates_field(Archive& archive, List& list)
{
    archive.plain(list.count);
    if (list.count > max_candidates)
    {
        throw decode_error("too many candidates");
    }
    for (std::size_t i = 0; i < list.count; ++i)
    {
        strong_type_field(archive, list.ids.at(i));
    }
}

template <class Archive, class Bytes>
void bytes_field(Archive& archive, Bytes& value)
{
    if constexpr (Archive::is_reading)
    {
        byte_view view;
        archive.sized_bytes(view);
        value.assign(view.begin(), view.end());
    }
    else
    {
        archive.sized_bytes(value);
    }
}

template <class Message, class Type>
concept is_message = std::is_same_v<std::remove_const_t<Message>, Type>;

template <class Archive, is_message<forward_message> Message>
void message_fields(Archive& archive, Message& message)
{
    flow_field(archive, message.flow);
    strong_type_field(archive, message.entry);
    enum_field(archive, message.mode, forward_mode::transfer);
    archive.plain(message.hops);
    archive.plain(message.sequence);
    strong_type_field(archive, message.target_incarnation);
    archive.plain(message.moves_flow);
    trace_field(archive, message.trace);
    candidates_field(archive, message.candidates);
    archive.sized_bytes(message.payload);
}

template <class Archive, is_message<forward_ack> Message>
void message_fields(Archive& archive, Message& message)
{
    archive.plain(message.sequence);
}

template <class Archive, is_message<reply_message> Message>
void message_fields(Archive& archive, Message& message)
{
    flow_field(archive, message.flow);
    archive.plain(message.from_owner);
    trace_field(archive, message.trace);
    archive.sized_bytes(message.payload);
}

template <class Archive, is_message<flow_query> Message>
void message_fields(Archive& archive, Message& message)
{
    flow_field(archive, message.flow);
    archive.plain(message.query);
}

template <class Archive, is_message<flow_query_answer> Message>
void message_fields(Archive& archive, Message& message)
{
    flow_field(archive, message.flow);
    archive.plain(message.query);
    enum_field(
        archive, message.ownership_status, flow_ownership_status::looking_up);
    strong_type_field(archive, message.owner);
    archive.plain(message.in_flight);
    archive.plain(message.limit);
    archive.plain(message.flows);
    archive.plain(message.admits);
}

template <class Archive, is_message<heartbeat> Message>
void message_fields(Archive& archive, Message& message)
{
    record_field(archive, message.self);
    time_field(archive, message.sent);
}

template <class Archive, is_message<heartbeat_answer> Message>
void message_fields(Archive& archive, Message& message)
{
    list_field(
        archive, message.entries, max_list_size,
        [](Archive& target, auto& item) { strong_type_field(target, item); });
    list_field(
        archive, message.siblings, max_list_size,
        [](Archive& target, auto& item)
        {
            strong_type_field(target, item.id);
            strong_type_field(target, item.incarnation_number);
        });
    record_field(archive, message.known);
    time_field(archive, message.heartbeat_sent);
}

template <class Archive, is_message<gossip_message> Message>
void message_fields(Archive& archive, Message& message)
{
    list_field(
        archive, message.records, max_list_size,
        [](Archive& target, auto& item) { record_field(target, item); });
}

template <class Archive, is_message<digest_message> Message>
void message_fields(Archive& archive, Message& message)
{
    archive.plain(message.is_answer);
    for (auto& bucket : message.buckets)
    {
        archive.plain(bucket);
    }
}

template <class Archive, is_message<config_request> Message>
void message_fields(Archive&, Message&)
{
}

template <class Archive, is_message<config_push> Message>
void message_fields(Archive& archive, Message& message)
{
    archive.text(message.document, max_text_size);
}

template <class Archive, is_message<watch_handoff> Message>
void message_fields(Archive& archive, Message& message)
{
    archive.plain(message.handoff_id);
    flow_field(archive, message.flow);
    strong_type_field(archive, message.entry);
    archive.plain(message.observe);
    archive.plain(message.message_id);
    bytes_field(archive, message.request);
}

template <class Archive, is_message<watch_handoff_ack> Message>
void message_fields(Archive& archive, Message& message)
{
    archive.plain(message.handoff_id);
}

template <class Archive, is_message<retirement_message> Message>
void message_fields(Archive& archive, Message& message)
{
    archive.plain(message.part);
    archive.plain(message.parts);
    time_field(archive, message.retired_at);
    list_field(
        archive, message.requests, max_list_size,
        [](Archive& target, auto& item)
        {
            target.plain(item.digest.high);
            target.plain(item.digest.low);
            strong_type_field(target, item.transferred_to.id);
            strong_type_field(target, item.transferred_to.incarnation_number);
            bytes_field(target, item.answer);
        });
}

template <class Archive, is_message<retirement_ack> Message>
void message_fields(Archive& archive, Message& message)
{
    archive.plain(message.part);
}

} // namespace masticslip::detail
