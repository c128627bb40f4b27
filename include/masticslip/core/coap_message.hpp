#pragma once
/// A decoded CoAP message (RFC 7252).
///
/// The codec in `src/coap` converts between datagrams and this form. Options
/// keep their order; values are raw bytes.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip
{

using bytes = std::vector<std::uint8_t>;

/// Message types of RFC 7252, section 3.
enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3
};

/// Codes of RFC 7252, section 12.1, as `class << 5 | detail`.
enum class coap_code : std::uint8_t
{
    empty = 0,
    get = 1,
    post = 2,
    put = 3,
    del = 4,
    fetch = 5,
    patch = 6,
    ipatch = 7,
    created = 65,
    deleted = 66,
    changed = 68,
    content = 69,
    continue_transfer = 95,
    bad_request = 128,
    unauthorized = 129,
    forbidden = 131,
    not_found = 132,
    incomplete = 136,
    too_large = 141,
    internal_error = 160,
    service_unavailable = 163,
    gateway_timeout = 164
};

/// Option numbers that Masticslip reads or writes.
namespace coap_option_number
{
constexpr std::uint16_t observe = 6;
constexpr std::uint16_t uri_path = 11;
constexpr std::uint16_t max_age = 14;
constexpr std::uint16_t uri_query = 15;
constexpr std::uint16_t block2 = 23;
constexpr std::uint16_t block1 = 27;
constexpr std::uint16_t echo = 252;
constexpr std::uint16_t request_tag = 292;
/// Experimental-use number (RFC 7252, section 12.2): milliseconds for which
/// the sender of a request waits for the response.
constexpr std::uint16_t deadline = 65002;
} // namespace coap_option_number

struct coap_option
{
    std::uint16_t number = 0;
    bytes value;

    bool operator==(const coap_option&) const = default;
};

/// Not thread-safe for concurrent writes.
struct coap_message
{
    coap_type type = coap_type::confirmable;
    coap_code code = coap_code::empty;
    std::uint16_t message_id = 0;
    bytes token;
    std::vector<coap_option> options;
    bytes payload;

    bool operator==(const coap_message&) const = default;

    /// Returns the first option with this number, or null. The pointer is
    /// valid until the options change.
    [[nodiscard]] const coap_option* find(std::uint16_t number) const;

    /// Returns the first option with this number as an unsigned integer, or
    /// nullopt if it is absent or longer than 4 bytes.
    [[nodiscard]] std::optional<std::uint32_t>
    find_uint(std::uint16_t number) const;

    /// Removes all options with this number.
    void erase(std::uint16_t number);

    /// Replaces all options with this number by one.
    void set(std::uint16_t number, bytes value);

    /// Replaces all options with this number by one unsigned integer.
    void set_uint(std::uint16_t number, std::uint32_t value);

    /// Adds a text option after any with the same number.
    void add_text(std::uint16_t number, std::string_view text);

    /// Joins the Uri-Path options as `/a/b`.
    [[nodiscard]] std::string path() const;

    /// True for codes 0.01 to 0.31.
    [[nodiscard]] bool is_request() const;

    /// True for codes 2.00 and above.
    [[nodiscard]] bool is_response() const;

    /// True for requests that may have a further effect when repeated.
    [[nodiscard]] bool is_non_idempotent() const;
};

/// Fields of a Block1 or Block2 option (RFC 7959).
struct block_value
{
    std::uint32_t number = 0;
    bool more = false;
    std::uint8_t size_exponent = 0;

    /// Returns the block size in bytes.
    [[nodiscard]] std::uint32_t size() const
    {
        return 16U << this->size_exponent;
    }
};

block_value decode_block(std::uint32_t value);

std::uint32_t encode_block(const block_value& block);

} // namespace masticslip
