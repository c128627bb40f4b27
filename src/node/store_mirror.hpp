#pragma once
/// An up-to-date local copy of all keys under a prefix of the store.
///
/// Reads the prefix once, then watches for changes. A watch that fails, times
/// out or is refused is retried; if the store has compacted the history or was
/// restored from a copy, the whole prefix is read again.

#include "batching_delay.hpp"

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

/// Not thread-safe. Must exist until `context.run()` has returned.
class store_mirror
{
public:
    /// Called after each change with all values by key and the position up
    /// to which they are current.
    using change_handler = std::function<void(
        const std::map<std::string, std::string>& values,
        const store_position& position)>;

    struct timing
    {
        /// How long one call waits for changes. A connection that has gone
        /// silent is detected after this time.
        std::chrono::milliseconds watch_timeout{2'500};
        /// Longest delay after a change, so that changes made in quick
        /// succession are read with one call.
        std::chrono::milliseconds longest_batching_delay{0};
    };

    store_mirror(
        boost::asio::io_context& context,
        key_value_store& store,
        std::string prefix,
        timing times,
        change_handler on_change)
        : context(context), store(store), prefix(std::move(prefix)),
          times(times), batching(times.longest_batching_delay),
          on_change(std::move(on_change))
    {
    }

    /// Sets the watch timeout of subsequent calls.
    void set_watch_timeout(std::chrono::milliseconds timeout)
    {
        this->times.watch_timeout = timeout;
    }

    /// Starts reading. Call once.
    void start();

    /// True after the prefix has been read once.
    [[nodiscard]] bool is_read() const
    {
        return this->is_loaded;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> watch_changes();
    /// True if the store's state at `other` does not follow the one known.
    [[nodiscard]] bool is_other_history(const store_position& other) const;
    void apply(store_changes changes);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void record_failure(const char* call, const std::string& reason);
    void record_success();

    boost::asio::io_context& context;
    key_value_store& store;
    std::string prefix;
    timing times;
    batching_delay batching;
    change_handler on_change;
    std::map<std::string, std::string> values;
    store_position position;
    bool is_loaded = false;
    bool needs_reload = true;
    unsigned failures = 0;
    std::chrono::steady_clock::time_point outage_start;
};

} // namespace masticslip
