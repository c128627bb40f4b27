#include "libcoap_codec.hpp"

#include <array>
#include <memory>

#include <coap3/coap.h>

namespace masticslip
{

namespace
{

constexpr std::size_t header_size = 4;
constexpr std::size_t max_token = 8;
constexpr std::size_t max_option_header = 5;
constexpr std::uint8_t payload_marker = 0xff;
constexpr std::uint8_t version_bits = 0x40;

struct pdu_deleter
{
    void operator()(coap_pdu_t* pdu) const
    {
        coap_delete_pdu(pdu);
    }
};

using pdu_pointer = std::unique_ptr<coap_pdu_t, pdu_deleter>;

void append(bytes& target, const std::uint8_t* data, std::size_t size)
{
    target.insert(target.end(), data, data + size);
}

void read_options(coap_pdu_t* pdu, coap_message& message)
{
    coap_opt_iterator_t iterator;
    coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
    while (const coap_opt_t* option = coap_option_next(&iterator))
    {
        coap_option item;
        item.number = iterator.number;
        append(item.value, coap_opt_value(option), coap_opt_length(option));
        message.options.push_back(std::move(item));
    }
}

/// Checks the rules that libcoap enforces in its session layer, not its parser.
bool is_well_formed(const coap_message& message, std::size_t size)
{
    if (message.code == coap_code::empty)
    {
        return size == header_size;
    }
    const bool carries_code = message.type != coap_type::reset;
    return carries_code && (message.is_request() || message.is_response());
}

} // namespace

libcoap_codec::libcoap_codec()
{
    coap_set_log_level(LOG_EMERG);
}

std::optional<coap_message> libcoap_codec::decode(byte_view datagram) const
{
    if (datagram.size() < header_size)
    {
        return std::nullopt;
    }
    const pdu_pointer pdu(
        coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()));
    const bool parsed = pdu && coap_pdu_parse(
                                   COAP_PROTO_UDP, datagram.data(),
                                   datagram.size(), pdu.get()) != 0;
    if (!parsed)
    {
        return std::nullopt;
    }
    coap_message message;
    message.type = static_cast<coap_type>(coap_pdu_get_type(pdu.get()));
    message.code = static_cast<coap_code>(coap_pdu_get_code(pdu.get()));
    message.message_id =
        static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
    const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
    append(message.token, token.s, token.length);
    read_options(pdu.get(), message);
    std::size_t size = 0;
    const std::uint8_t* data = nullptr;
    if (coap_get_data(pdu.get(), &size, &data) != 0)
    {
        append(message.payload, data, size);
    }
    if (!is_well_formed(message, datagram.size()))
    {
        return std::nullopt;
    }
    return message;
}

bytes libcoap_codec::encode(const coap_message& message) const
{
    bytes result;
    const std::size_t token_size = std::min(message.token.size(), max_token);
    const auto type = static_cast<std::uint8_t>(message.type);
    result.push_back(
        static_cast<std::uint8_t>(version_bits | (type << 4U) | token_size));
    result.push_back(static_cast<std::uint8_t>(message.code));
    result.push_back(static_cast<std::uint8_t>(message.message_id >> 8U));
    result.push_back(static_cast<std::uint8_t>(message.message_id));
    append(result, message.token.data(), token_size);
    std::uint16_t previous = 0;
    for (const coap_option& option : message.options)
    {
        const auto delta = static_cast<std::uint16_t>(option.number - previous);
        const std::size_t start = result.size();
        const std::size_t capacity = max_option_header + option.value.size();
        result.resize(start + capacity);
        const std::size_t used = coap_opt_encode(
            result.data() + start, capacity, delta, option.value.data(),
            option.value.size());
        result.resize(start + used);
        previous = option.number;
    }
    if (!message.payload.empty())
    {
        result.push_back(payload_marker);
        append(result, message.payload.data(), message.payload.size());
    }
    return result;
}

} // namespace masticslip
