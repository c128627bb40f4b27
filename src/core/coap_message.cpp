#include "masticslip/core/coap_message.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

constexpr std::uint8_t first_response_code = 64;
constexpr std::uint8_t last_request_code = 31;
constexpr std::uint32_t block_more_bit = 8;
constexpr std::uint32_t block_size_mask = 7;
constexpr std::uint32_t block_number_shift = 4;

} // namespace

const coap_option* coap_message::find(std::uint16_t number) const
{
    const auto found = std::find_if(
        this->options.begin(), this->options.end(),
        [number](const coap_option& item) { return item.number == number; });
    return found == this->options.end() ? nullptr : &*found;
}

std::optional<std::uint32_t> coap_message::find_uint(std::uint16_t number) const
{
    const coap_option* option = this->find(number);
    if (option == nullptr || option->value.size() > sizeof(std::uint32_t))
    {
        return std::nullopt;
    }
    std::uint32_t result = 0;
    for (const std::uint8_t octet : option->value)
    {
        result = (result << 8U) | octet;
    }
    return result;
}

void coap_message::erase(std::uint16_t number)
{
    std::erase_if(
        this->options,
        [number](const coap_option& item) { return item.number == number; });
}

void coap_message::set(std::uint16_t number, bytes value)
{
    this->erase(number);
    const auto position = std::find_if(
        this->options.begin(), this->options.end(),
        [number](const coap_option& item) { return item.number > number; });
    this->options.insert(position, {number, std::move(value)});
}

void coap_message::set_uint(std::uint16_t number, std::uint32_t value)
{
    bytes encoded;
    for (; value != 0; value >>= 8U)
    {
        encoded.insert(encoded.begin(), static_cast<std::uint8_t>(value));
    }
    this->set(number, std::move(encoded));
}

void coap_message::add_text(std::uint16_t number, std::string_view text)
{
    const auto position = std::find_if(
        this->options.begin(), this->options.end(),
        [number](const coap_option& item) { return item.number > number; });
    this->options.insert(position, {number, bytes(text.begin(), text.end())});
}

std::string coap_message::path() const
{
    std::string result;
    for (const coap_option& item : this->options)
    {
        if (item.number == coap_option_number::uri_path)
        {
            result += '/';
            result.append(item.value.begin(), item.value.end());
        }
    }
    return result;
}

bool coap_message::is_request() const
{
    const auto value = static_cast<std::uint8_t>(this->code);
    return value >= 1 && value <= last_request_code;
}

bool coap_message::is_response() const
{
    return static_cast<std::uint8_t>(this->code) >= first_response_code;
}

bool coap_message::is_non_idempotent() const
{
    return this->is_request() && this->code != coap_code::get &&
           this->code != coap_code::fetch;
}

block_value decode_block(std::uint32_t value)
{
    return {
        value >> block_number_shift, (value & block_more_bit) != 0,
        static_cast<std::uint8_t>(value & block_size_mask)};
}

std::uint32_t encode_block(const block_value& block)
{
    return (block.number << block_number_shift) |
           (block.more ? block_more_bit : 0) | block.size_exponent;
}

} // namespace masticslip
