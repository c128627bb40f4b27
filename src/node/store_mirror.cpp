#include "store_mirror.hpp"

#include "node_clock.hpp"

#include "telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
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

} // namespace

void store_mirror::start()
{
    asio::co_spawn(this->context, this->run(), asio::detached);
}

asio::awaitable<void> store_mirror::run()
{
    for (;;)
    {
        const bool done = this->needs_reload ? co_await this->read()
                                             : co_await this->watch_changes();
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
    this->on_change(this->values, this->position);
    co_return true;
}

asio::awaitable<bool> store_mirror::watch_changes()
{
    auto result = co_await this->store.wait_for_changes(
        this->prefix, this->position.revision, this->times.watch_timeout);
    if (result.status == store_status::compacted)
    {
        log_line(log_level::info, "history_dropped")
            .field("prefix", this->prefix)
            .field("position", to_string(this->position));
        this->needs_reload = true;
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
        log_line(log_level::warning, "history_replaced")
            .field("prefix", this->prefix)
            .field("known", to_string(this->position))
            .field("found", to_string(result.value->position));
        this->needs_reload = true;
        // Bounds the rate of reads from a store that keeps going back.
        co_await this->pause(initial_backoff);
        co_return true;
    }
    const bool has_changes = !result.value->events.empty();
    this->apply(std::move(*result.value));
    if (has_changes)
    {
        this->on_change(this->values, this->position);
        const auto delay = this->batching.next(node_now());
        if (delay.count() > 0)
        {
            co_await this->pause(delay);
        }
    }
    co_return true;
}

bool store_mirror::is_other_history(const store_position& other) const
{
    return other.era != this->position.era ||
           other.revision < this->position.revision;
}

void store_mirror::apply(store_changes changes)
{
    for (auto& event : changes.events)
    {
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

asio::awaitable<void> store_mirror::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void store_mirror::record_failure(const char* call, const std::string& reason)
{
    if (this->failures++ == 0)
    {
        this->outage_start = std::chrono::steady_clock::now();
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
            std::chrono::steady_clock::now() - this->outage_start);
    log_line(log_level::info, "store_regained")
        .field("prefix", this->prefix)
        .field("failures", this->failures)
        .field("away_ms", outage_duration.count());
    this->failures = 0;
}

} // namespace masticslip
