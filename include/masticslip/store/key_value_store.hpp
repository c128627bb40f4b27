#pragma once
/// The platform's key-value service as masticslip uses it.
///
/// Implementations translate to a platform's own interface. Every call ends
/// within its time limit, also when the service is silent.

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// How a call ended.
enum class store_status : std::uint8_t
{
    done,
    conflict,  ///< A condition did not hold; nothing was done.
    not_found, ///< No such key or lease.
    compacted, ///< The asked history is no longer there: read anew.
    refused,   ///< The service is busy or away; nothing was done.
    unknown    ///< No answer: a change may be done, now or later.
};

/// Returns the stable name of a status.
const char* to_string(store_status status);

/// A value, or why there is none.
template <class Value>
struct store_result
{
    store_status status = store_status::unknown;
    std::optional<Value> value;
    /// Last reason; empty if done.
    std::string reason;
};

/// Lease of a key; zero: none.
using lease_id = std::uint64_t;

/// One key with its value.
struct store_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// A change of one key.
struct store_event
{
    store_item item;
    bool is_removed = false;
};

/// All keys under a prefix at about one time.
struct store_range
{
    std::vector<store_item> items;
    /// Changes after this revision are not in `items`.
    std::uint64_t revision = 0;
};

/// Changes in order.
struct store_changes
{
    std::vector<store_event> events;
    /// Revision to continue from.
    std::uint64_t revision = 0;
};

/// A granted or renewed lease.
struct store_lease
{
    lease_id id = 0;
    std::chrono::milliseconds lifetime{};
};

/// Calls run on the caller's executor. Not thread-safe.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Reads all keys under a prefix, as acknowledged before the call.
    virtual boost::asio::awaitable<store_result<store_range>>
    read_range(std::string prefix) = 0;

    /// Waits up to `wait` for changes under a prefix after a revision. No
    /// change in that time gives an empty list.
    virtual boost::asio::awaitable<store_result<store_changes>>
    wait_for_changes(
        std::string prefix,
        std::uint64_t after,
        std::chrono::milliseconds wait) = 0;

    /// Writes a key; it is removed when the lease ends. Gives the revision.
    virtual boost::asio::awaitable<store_result<std::uint64_t>>
    put(std::string key, std::string value, lease_id lease) = 0;

    /// Removes a key. Gives the revision.
    virtual boost::asio::awaitable<store_result<std::uint64_t>>
    remove(std::string key) = 0;

    virtual boost::asio::awaitable<store_result<store_lease>>
    grant_lease(std::chrono::milliseconds lifetime) = 0;

    virtual boost::asio::awaitable<store_result<store_lease>>
    renew_lease(lease_id lease) = 0;

    /// Calls made so far.
    [[nodiscard]] virtual std::uint64_t call_count() const = 0;
};

} // namespace masticslip
