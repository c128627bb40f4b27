#pragma once
/// Client of the platform's key-value service (etcd v3 JSON interface).

#include "masticslip/core/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip
{

/// One key with its value.
struct key_value
{
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
};

/// A write that is part of a transaction.
struct put_operation
{
    std::string key;
    std::string value;
};

/// Writes all keys if the compared key still has the expected revision
/// (zero: the key does not exist).
struct guarded_write
{
    std::string compared_key;
    std::int64_t expected_revision = 0;
    std::vector<put_operation> puts;
};

/// Whether a guarded write was applied.
enum class write_outcome : std::uint8_t
{
    applied,
    conflict,
    /// No answer: it may or may not have been applied.
    undecided
};

/// Calls run on the current executor. Not thread-safe. `last_reason` tells
/// why the last call gave no value.
class etcd_client
{
public:
    /// Precondition: at least one server.
    etcd_client(
        std::vector<endpoint> servers, std::chrono::milliseconds timeout)
        : servers(std::move(servers)), timeout(timeout)
    {
    }

    /// Reads the keys from `first` up to, not including, `end`; an empty end
    /// reads one key. Nullopt if the service did not answer.
    boost::asio::awaitable<std::optional<std::vector<key_value>>>
    range(std::string first, std::string end);

    /// Applies a guarded write.
    boost::asio::awaitable<write_outcome> write(guarded_write request);

    /// Waits until the key changes after `revision`; returns the new value,
    /// or nullopt if the service did not answer within `wait`.
    boost::asio::awaitable<std::optional<key_value>> watch(
        std::string key, std::int64_t revision, std::chrono::milliseconds wait);

    [[nodiscard]] const std::string& last_reason() const
    {
        return this->reason;
    }

    /// Calls made so far.
    [[nodiscard]] std::uint64_t calls() const
    {
        return this->call_count;
    }

private:
    boost::asio::awaitable<std::optional<boost::json::object>>
    post(std::string target, const boost::json::object& body);

    std::vector<endpoint> servers;
    std::chrono::milliseconds timeout;
    std::string reason;
    std::size_t next_server = 0;
    std::uint64_t call_count = 0;
};

/// Returns the smallest key behind all keys with this prefix.
std::string prefix_end(std::string prefix);

/// Encodes and decodes base64 as the JSON interface uses it.
std::string encode_base64(std::string_view text);
std::optional<std::string> decode_base64(std::string_view text);

} // namespace masticslip
