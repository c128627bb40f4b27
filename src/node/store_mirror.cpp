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

/// First pause after a failed call; doubles with each further failure.
constexpr std::chrono::milliseconds first_pause{100};
/// Longest pause: the store's return is noticed within this time.
constexpr std::chrono::milliseconds longest_pause{800};
/// The same before the first read, when nothing can be served without it.
constexpr std::chrono::milliseconds longest_first_pause{200};
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
        const bool done =
            this->must_read ? co_await this->read() : co_await this->follow();
        if (!done)
        {
            const auto doublings = std::min(this->failures, max_doublings);
            const auto longest =
                this->was_read ? longest_pause : longest_first_pause;
            co_await this->pause(
                std::min(longest, first_pause * (1U << doublings)));
        }
    }
}

asio::awaitable<bool> store_mirror::read()
{
    auto result = co_await this->store.read_range(this->prefix);
    if (!result.value)
    {
        this->note_failure("read", result.reason);
        co_return false;
    }
    this->note_success();
    this->values.clear();
    for (auto& item : result.value->items)
    {
        this->values[item.key] = std::move(item.value);
    }
    this->revision = result.value->revision;
    this->must_read = false;
    this->was_read = true;
    this->on_change(this->values, this->revision);
    co_return true;
}

asio::awaitable<bool> store_mirror::follow()
{
    auto result = co_await this->store.wait_for_changes(
        this->prefix, this->revision, this->times.wait);
    if (result.status == store_status::compacted)
    {
        log_line(log_level::info, "history_dropped")
            .field("prefix", this->prefix)
            .field("revision", this->revision);
        this->must_read = true;
        co_return true;
    }
    if (!result.value)
    {
        this->note_failure("watch", result.reason);
        co_return false;
    }
    this->note_success();
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
        if (this->times.settle.count() > 0)
        {
            co_await this->pause(this->times.settle);
        }
    }
    co_return true;
}

asio::awaitable<void> store_mirror::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void store_mirror::note_failure(const char* call, const std::string& reason)
{
    if (this->failures++ == 0)
    {
        this->failed_since = std::chrono::steady_clock::now();
        log_line(log_level::warning, "store_lost")
            .field("prefix", this->prefix)
            .field("call", call)
            .field("reason", reason);
    }
}

void store_mirror::note_success()
{
    if (this->failures == 0)
    {
        return;
    }
    const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - this->failed_since);
    log_line(log_level::info, "store_regained")
        .field("prefix", this->prefix)
        .field("failures", this->failures)
        .field("away_ms", away.count());
    this->failures = 0;
}

} // namespace masticslip
