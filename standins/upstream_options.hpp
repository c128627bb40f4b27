#pragma once
/// Options and constants of the upstream stand-in, and conversions of bytes
/// to text.

#include "masticslip/core/coap_message.hpp"
#include "masticslip/core/messages.hpp"
#include "masticslip/core/types.hpp"

#include <chrono>
#include <string>

namespace masticslip::standins
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds announce_interval = 300ms;
constexpr std::chrono::milliseconds collapse_duration = 1500ms;
constexpr std::uint32_t cold_slots = 1;
/// A cold upstream collapses if it has more than `cold_collapse_limit` pending
/// requests continuously for over `collapse_after_service_times` service times.
constexpr std::uint32_t cold_collapse_limit = 3;
constexpr int collapse_after_service_times = 10;
constexpr int cold_slowdown = 3;
/// Blocks of a document and their size exponent (RFC 7959); the values in
/// caller_session.cpp must be equal.
constexpr std::uint32_t document_blocks = 5;
constexpr std::uint8_t block_exponent = 6;

/// A blockwise upload whose last block has not arrived.
struct partial_upload
{
    std::uint32_t next_block = 0;
    std::string content;
};

/// A caller that observes the board.
struct board_observer
{
    endpoint to;
    coap_message request;
};

/// Values of the command-line flags.
struct upstream_options
{
    endpoint bind;
    endpoint control;
    endpoint companion;
    std::string service;
    std::uint32_t slots = 5;
    std::chrono::milliseconds service_time{};
    std::chrono::milliseconds cold_time{};
    std::chrono::milliseconds notify_interval{};
    std::string log_file;
};

inline std::string to_text(const bytes& value)
{
    return {value.begin(), value.end()};
}

inline std::string hex(const bytes& value)
{
    std::string result;
    for (const std::uint8_t octet : value)
    {
        constexpr const char* digits = "0123456789abcdef";
        result += digits[octet >> 4U];
        result += digits[octet & 15U];
    }
    return result;
}

} // namespace masticslip::standins
