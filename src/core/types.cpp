#include "masticslip/core/types.hpp"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace masticslip
{

namespace
{

constexpr int octet_count = 4;
constexpr unsigned max_octet = 255;
constexpr unsigned max_port = 65535;

/// Consumes a decimal number of at most `limit` at the start of `text`.
std::optional<unsigned> consume_number(std::string_view& text, unsigned limit)
{
    unsigned value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || value > limit)
    {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
    return value;
}

bool consume_char(std::string_view& text, char expected)
{
    if (text.empty() || text.front() != expected)
    {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string to_string(const endpoint& value)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        text += std::to_string(
            (value.address >> static_cast<unsigned>(shift)) & max_octet);
        text += shift > 0 ? '.' : ':';
    }
    return text + std::to_string(value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    endpoint result;
    for (int index = 0; index < octet_count; ++index)
    {
        const auto octet = consume_number(text, max_octet);
        const char separator = index + 1 < octet_count ? '.' : ':';
        if (!octet || !consume_char(text, separator))
        {
            return std::nullopt;
        }
        result.address = (result.address << 8U) | *octet;
    }
    const auto port = consume_number(text, max_port);
    if (!port || !text.empty())
    {
        return std::nullopt;
    }
    result.port = static_cast<std::uint16_t>(*port);
    return result;
}

service_id make_service_id(std::string_view name)
{
    return {XXH32(name.data(), name.size(), 0)};
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> words{first, second};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t hash_flow(const flow_key& flow)
{
    return hash_pair(flow.caller.packed(), flow.service.value);
}

} // namespace masticslip
