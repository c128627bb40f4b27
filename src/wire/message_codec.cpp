#include "masticslip/wire/message_codec.hpp"

#include "masticslip/wire/replay_window.hpp"
#include "message_archive.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <unordered_map>
#include <utility>

#include <sodium.h>

namespace masticslip
{

namespace
{

constexpr std::size_t tag_size = crypto_shorthash_siphashx24_BYTES;
/// Offset of the protocol version: the tag and cereal's byte-order mark precede
/// it.
constexpr std::size_t version_offset = tag_size + 1;

using tag = std::array<std::uint8_t, tag_size>;

tag make_tag(byte_view content, const shared_key& key)
{
    tag result{};
    crypto_shorthash_siphashx24(
        result.data(), content.data(), content.size(), key.data());
    return result;
}

/// Fields that precede the message body.
struct envelope
{
    std::uint8_t version = protocol_version;
    std::uint8_t kind = 0;
    message_header header;
    instance_id receiver;
    std::uint64_t sequence = 0;
};

template <class Archive, class Envelope>
void envelope_fields(Archive& archive, Envelope& value)
{
    archive.plain(value.version);
    archive.plain(value.kind);
    detail::strong_type_field(archive, value.header.sender);
    detail::strong_type_field(archive, value.header.incarnation_number);
    archive.plain(value.header.generation_in_force);
    detail::strong_type_field(archive, value.receiver);
    archive.plain(value.sequence);
}

/// Reads the message type with the given variant index.
template <std::size_t Index = 0>
internal_message
read_alternative(std::size_t index, detail::field_reader& archive)
{
    if constexpr (Index < std::variant_size_v<internal_message>)
    {
        if (index == Index)
        {
            internal_message message(std::in_place_index<Index>);
            detail::message_fields(archive, std::get<Index>(message));
            return message;
        }
        return read_alternative<Index + 1>(index, archive);
    }
    else
    {
        throw detail::decode_error("unknown message type");
    }
}

std::nullopt_t
reject(failure_reason& reason, result_code code, const char* text)
{
    reason.code = code;
    reason.text = text;
    return std::nullopt;
}

} // namespace

struct message_codec::state
{
    state(wire_identity identity, std::vector<shared_key> keys)
        : identity(identity), keys(std::move(keys)), out(&this->out_buffer),
          in(&this->in_buffer)
    {
        this->in.exceptions(std::ios::badbit);
    }

    bool is_authentic(byte_view datagram) const
    {
        const byte_view content = datagram.subspan(tag_size);
        return std::any_of(
            this->keys.begin(), this->keys.end(),
            [&](const shared_key& key)
            {
                const tag expected = make_tag(content, key);
                return sodium_memcmp(
                           expected.data(), datagram.data(), tag_size) == 0;
            });
    }

    wire_identity identity;
    std::vector<shared_key> keys;
    std::uint64_t sequence = 0;
    std::array<std::uint8_t, max_datagram> buffer{};
    detail::write_buffer out_buffer;
    detail::read_buffer in_buffer;
    std::ostream out;
    std::istream in;
    std::unordered_map<instance_id, replay_window> windows;
};

message_codec::message_codec(
    wire_identity identity, std::vector<shared_key> keys)
    : impl(std::make_unique<state>(identity, std::move(keys)))
{
}

message_codec::~message_codec() = default;

byte_view message_codec::encode(
    instance_id receiver,
    generation generation_in_force,
    const internal_message& message)
{
    state& self = *this->impl;
    self.out.clear();
    self.out_buffer.reset(std::span(self.buffer).subspan(tag_size));
    envelope head;
    head.kind = static_cast<std::uint8_t>(message.index());
    head.header = {
        self.identity.self, self.identity.incarnation_number,
        generation_in_force};
    head.receiver = receiver;
    head.sequence = ++self.sequence;
    try
    {
        detail::field_writer archive(self.out);
        envelope_fields(archive, std::as_const(head));
        std::visit(
            [&archive](const auto& body)
            { detail::message_fields(archive, body); },
            message);
    }
    catch (const cereal::Exception&)
    {
        return {};
    }
    const std::size_t size = self.out_buffer.written();
    const byte_view content(self.buffer.data() + tag_size, size);
    const tag message_tag = make_tag(content, self.keys.front());
    std::copy(message_tag.begin(), message_tag.end(), self.buffer.begin());
    return {self.buffer.data(), tag_size + size};
}

std::optional<received_message>
message_codec::decode(byte_view datagram, failure_reason& reason)
{
    state& self = *this->impl;
    if (datagram.size() <= version_offset)
    {
        return reject(
            reason, result_code::dropped_malformed, "datagram too short");
    }
    if (!self.is_authentic(datagram))
    {
        return reject(
            reason, result_code::dropped_unauthentic,
            "authentication tag mismatch");
    }
    if (datagram[version_offset] != protocol_version)
    {
        return reject(
            reason, result_code::dropped_foreign_version,
            "unsupported protocol version");
    }
    self.in.clear();
    self.in_buffer.reset(datagram.subspan(tag_size));
    try
    {
        detail::field_reader archive(self.in, self.in_buffer);
        envelope head;
        envelope_fields(archive, head);
        if (head.receiver != self.identity.self)
        {
            return reject(
                reason, result_code::dropped_unauthentic,
                "addressed to another instance");
        }
        internal_message body = read_alternative(head.kind, archive);
        auto& window = self.windows[head.header.sender];
        if (!window.accept(head.header.incarnation_number, head.sequence))
        {
            return reject(
                reason, result_code::dropped_replayed,
                "sequence number repeated or too old");
        }
        return received_message{head.header, std::move(body)};
    }
    catch (const cereal::Exception&)
    {
        return reject(
            reason, result_code::dropped_malformed, "message truncated");
    }
    catch (const detail::decode_error& error)
    {
        return reject(reason, result_code::dropped_malformed, error.what());
    }
}

} // namespace masticslip
