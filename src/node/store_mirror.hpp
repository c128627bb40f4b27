#pragma once
/// A copy of all keys under one prefix of the store, kept current.
///
/// Reads the prefix once, then waits for changes. A cut, silent or refused
/// wait is repeated; a history that the store has dropped is read anew.

#include "masticslip/store/key_value_store.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace masticslip
{

/// Not thread-safe. Must outlive the context's run.
class store_mirror
{
public:
    /// Called after each change with all values by key, and the revision up to
    /// which they hold.
    using change_handler = std::function<void(
        const std::map<std::string, std::string>& values,
        std::uint64_t revision)>;

    /// Times of a mirror.
    struct pace
    {
        /// How long one call waits for changes: the time after which a
        /// connection that has gone silent is noticed.
        std::chrono::milliseconds wait{2'500};
        /// Pause after a change, so that changes which come together cost one
        /// call.
        std::chrono::milliseconds settle{0};
    };

    store_mirror(
        boost::asio::io_context& context,
        key_value_store& store,
        std::string prefix,
        pace times,
        change_handler on_change)
        : context(context), store(store), prefix(std::move(prefix)),
          times(times), on_change(std::move(on_change))
    {
    }

    /// Changes how long the next calls wait.
    void set_wait(std::chrono::milliseconds wait)
    {
        this->times.wait = wait;
    }

    /// Begins to read. Call once.
    void start();

    /// True once the prefix has been read.
    [[nodiscard]] bool is_read() const
    {
        return this->was_read;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> follow();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void note_failure(const char* call, const std::string& reason);
    void note_success();

    boost::asio::io_context& context;
    key_value_store& store;
    std::string prefix;
    pace times;
    change_handler on_change;
    std::map<std::string, std::string> values;
    std::uint64_t revision = 0;
    bool was_read = false;
    bool must_read = true;
    unsigned failures = 0;
    std::chrono::steady_clock::time_point failed_since;
};

} // namespace masticslip
