#include "store_mirror.hpp"

#include "node_clock.hpp"

#include "telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace masticslip
{

namespace asio = boost::asio;

namespace
{

/// Delay after the first failed call; doubles with each further failure.
constexpr std::chrono::milliseconds initial_backoff{100};
/// Longest delay: the store's recovery is detected within this time.
constexpr std::chrono::milliseconds max_backoff{800};
/// Longest delay before the first successful read. Shorter, because nothing
/// can be served without that data.
constexpr std::chrono::milliseconds max_backoff_before_load{200};
constexpr unsigned max_doublings = 3;
/// A call that failed is repeated within this time.
constexpr std::chrono::milliseconds retry_time =
    max_backoff + std::chrono::milliseconds(200);
/// The store answers a wait of this length immediately.
constexpr std::chrono::milliseconds no_wait{1};
/// The time of a watch is shorter than the longest by up to this fraction.
constexpr double watch_timeout_spread = 0.25;

} // namespace

void store_mirror::start()
{
    this->start_loop();
}

void store_mirror::start_loop()
{
    ++this->current_loop;
    asio::co_spawn(
        this->context, this->run(this->current_loop), asio::detached);
}

asio::awaitable<void> store_mirror::run(std::uint64_t loop)
{
    while (loop == this->current_loop)
    {
        const bool done = this->needs_reload
                              ? co_await this->read()
                              : co_await this->watch_changes(loop);
        if (!done)
        {
            const auto doublings = std::min(this->failures, max_doublings);
            const auto longest =
                this->is_loaded ? max_backoff : max_backoff_before_load;
            co_await this->pause(
                std::min(longest, initial_backoff * (1U << doublings)));
        }
    }
}

asio::awaitable<bool> store_mirror::read()
{
    const time_point sent = node_now();
    auto result = co_await this->store.read_range(this->prefix);
    if (!result.value)
    {
        this->record_failure("read", result.reason);
        co_return false;
    }
    this->record_success();
    this->values.clear();
    for (auto& item : result.value->items)
    {
        this->values[item.key] = std::move(item.value);
    }
    this->position = result.value->position;
    this->needs_reload = false;
    this->is_loaded = true;
    this->is_gapless = false;
    this->report_change();
    this->on_confirmed(sent);
    co_return true;
}

asio::awaitable<bool> store_mirror::watch_changes(std::uint64_t loop)
{
    const std::chrono::milliseconds wait = this->next_watch_timeout();
    const time_point sent = node_now();
    auto result = co_await this->store.wait_for_changes(
        this->prefix, this->position.revision, wait);
    if (loop != this->current_loop)
    {
        co_return true;
    }
    if (result.status == store_status::compacted)
    {
        this->reload_after("history_dropped", this->position);
        co_return true;
    }
    if (!result.value)
    {
        this->record_failure("watch", result.reason);
        co_return false;
    }
    this->record_success();
    if (this->is_other_history(result.value->position))
    {
        this->reload_after("history_replaced", result.value->position);
        // Bounds the rate of reads from a store that keeps going back.
        co_await this->pause(initial_backoff);
        co_return true;
    }
    const bool has_changes = !result.value->events.empty();
    this->apply(std::move(*result.value));
    if (!has_changes)
    {
        // The answer may have been held up on its way; it was sent after the
        // wait.
        this->on_confirmed(std::min(node_now(), sent + wait));
        co_return true;
    }
    this->report_change();
    // Changes that followed are in the answer to the next call.
    this->on_confirmed(node_now());
    const auto delay = this->batching.next(node_now());
    if (delay.count() > 0)
    {
        co_await this->pause(delay);
    }
    co_return true;
}

bool store_mirror::check()
{
    const bool is_retrying =
        this->failures != 0 && node_now() - this->last_failure < retry_time;
    if (this->is_checking || this->needs_reload || is_retrying)
    {
        return false;
    }
    this->is_checking = true;
    asio::co_spawn(this->context, this->ask_for_changes(), asio::detached);
    return true;
}

asio::awaitable<void> store_mirror::ask_for_changes()
{
    const store_position known = this->position;
    const time_point sent = node_now();
    auto result = co_await this->store.wait_for_changes(
        this->prefix, known.revision, no_wait);
    this->is_checking = false;
    // Otherwise the watch has been answered meanwhile.
    if (this->position == known && !this->needs_reload)
    {
        this->on_checked(sent, std::move(result));
    }
}

void store_mirror::on_checked(
    time_point sent, store_result<store_changes> result)
{
    if (result.status == store_status::compacted)
    {
        this->reload_after("history_dropped", this->position);
        this->start_loop();
        return;
    }
    if (!result.value)
    {
        ++this->check_failures;
        return;
    }
    if (this->is_other_history(result.value->position))
    {
        this->reload_after("history_replaced", result.value->position);
        this->start_loop();
        return;
    }
    if (!result.value->events.empty())
    {
        this->apply(std::move(*result.value));
        log_line(log_level::warning, "watch_silent")
            .field("prefix", this->prefix)
            .field("position", to_string(this->position));
        this->report_change();
        this->start_loop();
    }
    // Without changes the position stays that of the watch, which reads all
    // keys again if it has missed a change that is gone from the history.
    this->on_confirmed(sent);
}

std::chrono::milliseconds store_mirror::next_watch_timeout()
{
    std::uniform_real_distribution<double> fraction(
        1 - watch_timeout_spread, 1);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        this->times.watch_timeout * fraction(this->random));
}

void store_mirror::reload_after(const char* event, const store_position& found)
{
    log_line(log_level::info, event)
        .field("prefix", this->prefix)
        .field("known", to_string(this->position))
        .field("found", to_string(found));
    this->needs_reload = true;
}

bool store_mirror::is_other_history(const store_position& other) const
{
    return other.era != this->position.era ||
           other.revision < this->position.revision;
}

void store_mirror::apply(store_changes changes)
{
    std::set<std::string> changed;
    this->is_gapless = true;
    for (auto& event : changes.events)
    {
        const auto known = this->values.find(event.item.key);
        const bool is_first = changed.insert(event.item.key).second;
        if (!is_first && known != this->values.end())
        {
            this->replaced.push_back({known->first, std::move(known->second)});
        }
        if (event.is_removed)
        {
            this->values.erase(event.item.key);
        }
        else
        {
            this->values[event.item.key] = std::move(event.item.value);
        }
    }
    this->position = changes.position;
}

void store_mirror::report_change()
{
    this->on_change(this->values, this->position);
    this->replaced.clear();
}

asio::awaitable<void> store_mirror::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void store_mirror::record_failure(const char* call, const std::string& reason)
{
    this->last_failure = node_now();
    if (this->failures++ == 0)
    {
        this->outage_start = this->last_failure;
        log_line(log_level::warning, "store_lost")
            .field("prefix", this->prefix)
            .field("call", call)
            .field("reason", reason);
    }
}

void store_mirror::record_success()
{
    if (this->failures == 0)
    {
        return;
    }
    const auto outage_duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            node_now() - this->outage_start);
    log_line(log_level::info, "store_regained")
        .field("prefix", this->prefix)
        .field("failures", this->failures)
        .field("away_ms", outage_duration.count());
    this->failures = 0;
}

} // namespace masticslip
