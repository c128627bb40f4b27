#pragma once
/// Stand-in for the platform's metadata store with fault injection.
///
///     store_server store(context);
///     store.open({0x7F000001, 0}, reason);
///     store.fault = store_fault::silent;

#include "net/http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace masticslip::standin
{

/// Fault that is injected into every call.
enum class store_fault : std::uint8_t
{
    none,
    busy,      ///< Answers with HTTP status 503.
    limited,   ///< Answers with HTTP status 429.
    reset,     ///< Closes the connection without an answer.
    silent,    ///< Accepts the call and never answers.
    lost,      ///< Executes the call and closes without an answer.
    slow,      ///< Answers after `delay`.
    late,      ///< Closes without an answer, executes after `delay`.
    unreadable ///< Answers 200 with a body that is not JSON.
};

/// Not thread-safe.
class store_server
{
public:
    explicit store_server(boost::asio::io_context& context);

    /// Listens on an address; false and a reason on failure.
    bool open(const endpoint& local, std::string& reason);

    [[nodiscard]] endpoint local() const
    {
        return this->server.local();
    }

    /// Writes a key without a lease, as operators do.
    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Discards the change history: watches from older revisions are answered
    /// with 410.
    void compact();

    /// Connections of calls that wait for changes go silent for good.
    void silence_waiting_calls()
    {
        ++this->silenced_generation;
    }

    /// Expires all leases and removes their keys.
    void expire_all_leases();

    /// Expires the lease of a key, if it has one, and removes the lease's keys.
    void expire_lease_of(const std::string& key);

    /// Returns to the state of `age` ago, as a store that is restored from a
    /// copy: later writes and leases are lost, revisions and lease ids are
    /// given out again, and the era rises by one. The copy's leases run from
    /// now on. An age beyond `copy_retention` restores the oldest state kept.
    void restore_copy(std::chrono::milliseconds age);

    /// Ages for which restore_copy() is exact.
    static constexpr std::chrono::seconds copy_retention{15};

    /// Sent as the header `Store-Era`; nullopt: no such header.
    std::optional<std::uint64_t> era = 1;

    [[nodiscard]] bool has(const std::string& key) const
    {
        return this->items.contains(key);
    }

    /// Value of a key; empty if there is none.
    [[nodiscard]] std::string value_of(const std::string& key) const
    {
        const auto found = this->items.find(key);
        return found == this->items.end() ? "" : found->second.value;
    }

    /// Number of keys under a prefix.
    [[nodiscard]] std::size_t count_of(const std::string& prefix) const;

    /// Lease of a key; zero if it has none.
    [[nodiscard]] std::uint64_t lease_of(const std::string& key) const
    {
        const auto found = this->items.find(key);
        return found == this->items.end() ? 0 : found->second.lease;
    }

    [[nodiscard]] std::uint64_t current_revision() const
    {
        return this->revision;
    }

    store_fault fault = store_fault::none;
    /// Delay of the answer (`slow`) or of the execution (`late`).
    std::chrono::milliseconds delay{};
    /// Maximum number of items on a page of a range read.
    std::size_t page_size = 2;
    /// Sends values that are not base64, or items without keys.
    bool garbles_values = false;
    bool omits_keys = false;
    std::uint64_t calls = 0;
    /// Writes beyond this number in a second are answered with 429; zero: no
    /// limit.
    std::uint32_t writes_per_second = 0;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct change
    {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        std::string value;
    };

    using answer = boost::asio::awaitable<std::optional<http_response>>;

    /// What a copy of the store holds.
    struct stored_state
    {
        std::map<std::string, item> items;
        std::set<std::uint64_t> leases;
        std::uint64_t revision = 1;
        std::uint64_t next_lease = 77'000;
    };

    struct dated_copy
    {
        std::chrono::steady_clock::time_point since;
        stored_state state;
    };

    /// Keeps a copy of the current state; call after each change.
    void keep_copy();
    answer on_request(http_request request, boost::beast::tcp_stream& stream);
    answer answer_request(http_request request, boost::beast::tcp_stream&);
    answer handle(const http_request& request);
    boost::asio::awaitable<void> handle_later(http_request request);
    answer wait_for_changes(const http_request& request);
    answer stay_silent();
    http_response read_range(const http_request& request);
    http_response apply_transaction(const http_request& request);
    http_response grant_or_renew_lease(const http_request& request);
    void
    put(const std::string& key, const std::string& value, std::uint64_t lease);
    void expire_leases();
    /// Counts a write; false if it exceeds the limit.
    bool admit_write();
    [[nodiscard]] boost::json::object
    to_json(const std::string& key, const item& value) const;

    boost::asio::io_context& context;
    http_server server;
    boost::asio::steady_timer changed;
    std::map<std::string, item> items;
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> leases;
    std::deque<change> history;
    /// Calls that began to wait in an earlier generation are not answered.
    std::uint64_t silenced_generation = 0;
    std::uint64_t revision = 1;
    std::uint64_t oldest_revision = 1;
    std::uint64_t next_lease = 77'000;
    std::chrono::milliseconds lease_ttl{};
    std::deque<dated_copy> copies;
    std::deque<std::chrono::steady_clock::time_point> recent_writes;
};

} // namespace masticslip::standin
