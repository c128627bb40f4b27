#pragma once
/// An up-to-date local copy of all keys under a prefix of the store.
///
/// Reads the prefix once, then watches for changes. A watch that fails, times
/// out or is refused is retried; if the store has compacted the history or was
/// restored from a copy, the whole prefix is read again.
///
/// A watch that the store does not answer looks like one without changes until
/// it times out. A caller that cannot wait that long asks with check(): a call
/// of its own, which the store answers immediately.

#include "batching_delay.hpp"

#include "masticslip/store/key_value_store.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

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
        /// Longest time for which one call waits for changes. The time of each
        /// call is somewhat shorter at random, so that the mirrors of several
        /// processes do not run in step.
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
          on_change(std::move(on_change)), random(std::random_device{}())
    {
    }

    /// Starts reading. Call once.
    void start();

    /// True after the prefix has been read once.
    [[nodiscard]] bool is_read() const
    {
        return this->is_loaded;
    }

    /// Asks the store whether it holds changes that are not known here. Does
    /// nothing and returns false if a check or a read is in progress, or a
    /// failed call is about to be repeated.
    bool check();

    /// Sets a function that is called with the latest time at which the store
    /// is known to have held nothing newer than the values passed last.
    void set_confirmation_handler(std::function<void(time_point)> handler)
    {
        this->on_confirmed = std::move(handler);
    }

    /// True unless values may have been missed between those passed last and
    /// those before.
    [[nodiscard]] bool has_seen_all_values() const
    {
        return this->is_gapless;
    }

    /// Values that the store has replaced between those passed last and those
    /// before, oldest first. Only valid during the call of the handler.
    [[nodiscard]] const std::vector<store_item>& replaced_values() const
    {
        return this->replaced;
    }

    /// Number of checks that the store did not answer.
    [[nodiscard]] std::uint64_t failed_checks() const
    {
        return this->check_failures;
    }

private:
    /// Reads and watches until a later loop is started.
    boost::asio::awaitable<void> run(std::uint64_t loop);
    /// Starts a loop; the previous one ends when its call does.
    void start_loop();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> watch_changes(std::uint64_t loop);
    boost::asio::awaitable<void> ask_for_changes();
    /// Applies the answer to a check.
    void on_checked(time_point sent, store_result<store_changes> result);
    [[nodiscard]] std::chrono::milliseconds next_watch_timeout();
    /// Makes the next loop read the whole prefix.
    void reload_after(const char* event, const store_position& found);
    /// True if the store's state at `other` does not follow the one known.
    [[nodiscard]] bool is_other_history(const store_position& other) const;
    void apply(store_changes changes);
    /// Passes the values on.
    void report_change();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void record_failure(const char* call, const std::string& reason);
    void record_success();

    boost::asio::io_context& context;
    key_value_store& store;
    std::string prefix;
    timing times;
    batching_delay batching;
    change_handler on_change;
    std::function<void(time_point)> on_confirmed = [](time_point) {
    };
    std::map<std::string, std::string> values;
    store_position position;
    bool is_loaded = false;
    bool needs_reload = true;
    bool is_gapless = false;
    std::vector<store_item> replaced;
    unsigned failures = 0;
    time_point outage_start;
    time_point last_failure;
    bool is_checking = false;
    std::uint64_t check_failures = 0;
    std::uint64_t current_loop = 0;
    std::minstd_rand random;
};

} // namespace masticslip
