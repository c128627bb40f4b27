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

/// A key with its value and last modification revision.
struct key_value
{
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
};

/// A put operation within a transaction.
struct put_operation
{
    std::string key;
    std::string value;
};

/// Writes all keys if the compared key still has the expected revision
/// (zero: the key does not exist).
struct conditional_write
{
    std::string compared_key;
    std::int64_t expected_revision = 0;
    std::vector<put_operation> puts;
};

/// Outcome of a conditional write.
enum class write_outcome : std::uint8_t
{
    applied,
    conflict,
    /// No valid response: the write may or may not have been applied.
    unknown
};

/// Calls run on the current executor. Not thread-safe. `last_reason` describes
/// the most recent failure, also after later successful calls.
class etcd_client
{
public:
    /// Precondition: at least one server.
    etcd_client(
        std::vector<endpoint> servers, std::chrono::milliseconds timeout)
        : servers(std::move(servers)), timeout(timeout)
    {
    }

    /// Reads the keys in [first, end), or only `first` if `end` is empty.
    /// Returns nullopt if the service did not respond.
    boost::asio::awaitable<std::optional<std::vector<key_value>>>
    range(std::string first, std::string end);

    boost::asio::awaitable<write_outcome> write(conditional_write request);

    /// Waits for a change of the key after `revision`. Returns the new value,
    /// or nullopt if no change was received within `wait` or the watch failed.
    boost::asio::awaitable<std::optional<key_value>> watch(
        std::string key, std::int64_t revision, std::chrono::milliseconds wait);

    /// True if the last watch without a change failed before its `wait`.
    [[nodiscard]] bool has_watch_failed() const
    {
        return this->watch_failed;
    }

    [[nodiscard]] const std::string& last_reason() const
    {
        return this->reason;
    }

    /// Number of calls made so far.
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
    bool watch_failed = false;
    std::size_t next_server = 0;
    std::uint64_t call_count = 0;
};

/// Returns the exclusive upper bound of all keys with this prefix.
std::string prefix_end(std::string prefix);

/// Standard base64 with padding, as the etcd JSON gateway uses it.
std::string encode_base64(std::string_view text);
std::optional<std::string> decode_base64(std::string_view text);

} // namespace masticslip
