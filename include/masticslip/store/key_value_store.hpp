#pragma once
/// Interface to the platform's key-value store, as used by the nodes in
/// `src/node`. The daemon and the command line use the etcd client in
/// `src/platform` instead.
///
/// Implementations adapt it to a platform's own API. Every call completes
/// within its time limit, even if the store does not respond.

#include "masticslip/store/store_position.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// Outcome of a call.
enum class store_status : std::uint8_t
{
    done,
    conflict,  ///< A precondition failed; nothing was changed.
    not_found, ///< The key or lease does not exist.
    compacted, ///< History was compacted: read all keys again.
    refused,   ///< Overloaded or unreachable; nothing was changed.
    outdated,  ///< The response is older than a restoration of the store.
    unknown    ///< No response: a change may still be applied.
};

/// Returns the stable name of a status.
const char* to_string(store_status status);

/// A value, or the reason why the call gave none.
template <class Value>
struct store_result
{
    store_status status = store_status::unknown;
    std::optional<Value> value;
    /// Reason of the failure; empty if the status is `done`.
    std::string reason;
};

/// Identifies a lease; zero means no lease.
using lease_id = std::uint64_t;

/// A key with its value.
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

/// All keys under a prefix; not necessarily one atomic snapshot.
struct store_range
{
    std::vector<store_item> items;
    /// Changes after this position may be missing from `items`.
    store_position position;
};

/// Changes in revision order.
struct store_changes
{
    std::vector<store_event> events;
    /// Position after which the next wait starts. Its era differs from that of
    /// the wait if the store was restored: then read all keys again.
    store_position position;
};

/// A granted or renewed lease. It is valid only in its era: a restored store
/// may have given its id to another process.
struct store_lease
{
    lease_id id = 0;
    std::chrono::milliseconds lifetime{};
    std::uint64_t era = 0;
};

/// Asynchronous client of the store. Calls run on the caller's executor. Not
/// thread-safe.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Reads all keys under a prefix. The result includes every write that was
    /// acknowledged before the call.
    virtual boost::asio::awaitable<store_result<store_range>>
    read_range(std::string prefix) = 0;

    /// Waits up to `wait` for changes under a prefix after the revision
    /// `after`. The list is empty if nothing changed in that time.
    virtual boost::asio::awaitable<store_result<store_changes>>
    wait_for_changes(
        std::string prefix,
        std::uint64_t after,
        std::chrono::milliseconds wait) = 0;

    /// Writes a key, which the store removes when the lease expires. Returns
    /// the position of the change.
    virtual boost::asio::awaitable<store_result<store_position>>
    put(std::string key, std::string value, lease_id lease) = 0;

    /// Removes a key. Returns the position of the change.
    virtual boost::asio::awaitable<store_result<store_position>>
    remove(std::string key) = 0;

    virtual boost::asio::awaitable<store_result<store_lease>>
    grant_lease(std::chrono::milliseconds lifetime) = 0;

    virtual boost::asio::awaitable<store_result<store_lease>>
    renew_lease(lease_id lease) = 0;

    /// Newest era in any response so far; nullopt before the first response.
    [[nodiscard]] virtual std::optional<std::uint64_t> newest_era() const = 0;

    /// Number of calls made since construction.
    [[nodiscard]] virtual std::uint64_t call_count() const = 0;
};

} // namespace masticslip
