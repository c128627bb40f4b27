#include "masticslip/core/echo_token.hpp"

#include <algorithm>

#include <sodium.h>

namespace masticslip
{

namespace
{

constexpr std::size_t claim_size = 24;
constexpr std::size_t tag_size = crypto_shorthash_siphashx24_BYTES;

void put_word(bytes& out, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8)
    {
        out.push_back(
            static_cast<std::uint8_t>(value >> static_cast<unsigned>(shift)));
    }
}

std::uint64_t get_word(const bytes& value, std::size_t offset)
{
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < sizeof(word); ++i)
    {
        word = (word << 8U) | value[offset + i];
    }
    return word;
}

std::array<std::uint8_t, tag_size>
make_tag(const bytes& claim, const shared_key& key)
{
    std::array<std::uint8_t, tag_size> tag{};
    crypto_shorthash_siphashx24(
        tag.data(), claim.data(), claim_size, key.data());
    return tag;
}

} // namespace

bytes echo_issuer::issue(const echo_claim& claim) const
{
    bytes value;
    value.reserve(claim_size + tag_size);
    put_word(value, claim.companion.value);
    put_word(value, claim.incarnation_number.value);
    const auto issued = claim.issued.time_since_epoch().count();
    put_word(value, static_cast<std::uint64_t>(issued));
    const auto tag = make_tag(value, this->keys.front());
    value.insert(value.end(), tag.begin(), tag.end());
    return value;
}

std::optional<echo_claim> echo_issuer::verify(const bytes& value) const
{
    if (value.size() != claim_size + tag_size)
    {
        return std::nullopt;
    }
    const auto matches = [&value](const shared_key& key)
    {
        const auto tag = make_tag(value, key);
        return sodium_memcmp(tag.data(), value.data() + claim_size, tag_size) ==
               0;
    };
    if (std::none_of(this->keys.begin(), this->keys.end(), matches))
    {
        return std::nullopt;
    }
    const auto issued = static_cast<std::int64_t>(get_word(value, 16));
    return echo_claim{
        {get_word(value, 0)},
        {get_word(value, 8)},
        time_point(duration(issued))};
}

} // namespace masticslip
