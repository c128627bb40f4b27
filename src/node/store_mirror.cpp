#include "store_mirror.hpp"

#include "telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

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
    this->revision = result.value->revision;
    this->needs_reload = false;
    this->is_loaded = true;
    this->on_change(this->values, this->revision);
    co_return true;
}

asio::awaitable<bool> store_mirror::watch_changes()
{
    auto result = co_await this->store.wait_for_changes(
        this->prefix, this->revision, this->times.watch_timeout);
    if (result.status == store_status::compacted)
    {
        log_line(log_level::info, "history_dropped")
            .field("prefix", this->prefix)
            .field("revision", this->revision);
        this->needs_reload = true;
        co_return true;
    }
    if (!result.value)
    {
        this->record_failure("watch", result.reason);
        co_return false;
    }
    this->record_success();
    for (auto& event : result.value->events)
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
    this->revision = std::max(this->revision, result.value->revision);
    if (!result.value->events.empty())
    {
        this->on_change(this->values, this->revision);
        if (this->times.batching_delay.count() > 0)
        {
            co_await this->pause(this->times.batching_delay);
        }
    }
    co_return true;
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
