#include "store_watcher.hpp"

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

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds call_timeout = 2s;
/// Longest duration of one watch; the document is then read again.
constexpr std::chrono::milliseconds watch_timeout = 60s;
/// Interval at which a process that does not watch the store checks whether it
/// should.
constexpr std::chrono::milliseconds watch_check_interval = 500ms;
constexpr std::chrono::milliseconds min_backoff = 100ms;
constexpr std::chrono::milliseconds max_backoff = 5s;
constexpr unsigned max_doublings = 6;

} // namespace

store_watcher::store_watcher(
    asio::io_context& context,
    std::vector<endpoint> servers,
    std::uint64_t seed)
    : context(context), client(std::move(servers), call_timeout), random(seed)
{
}

void store_watcher::start(watch_condition condition, document_handler handler)
{
    this->should_watch = std::move(condition);
    this->on_document = std::move(handler);
    asio::co_spawn(this->context, this->run(), asio::detached);
}

asio::awaitable<void> store_watcher::run()
{
    while (!this->context.stopped())
    {
        std::chrono::milliseconds pause = watch_check_interval;
        if (this->should_watch())
        {
            const bool answered = co_await this->read_and_watch();
            pause = answered ? min_backoff : this->record_failure();
        }
        co_await this->sleep(pause);
    }
}

std::chrono::milliseconds store_watcher::record_failure()
{
    ++this->failures;
    log_line(log_level::warning, "store_unavailable")
        .field("failures", this->failures)
        .field("detail", std::string_view(this->client.last_reason()));
    return this->backoff();
}

asio::awaitable<bool> store_watcher::read_and_watch()
{
    const auto found = co_await this->client.range(configuration_key, "");
    if (!found)
    {
        co_return false;
    }
    this->failures = 0;
    std::int64_t revision = 0;
    if (!found->empty())
    {
        revision = found->front().mod_revision;
        this->on_document(found->front().value);
    }
    while (this->should_watch())
    {
        const auto changed = co_await this->client.watch(
            configuration_key, revision, watch_timeout);
        this->log_watch(changed.has_value());
        if (!changed)
        {
            // The watch may only have timed out. The next read determines
            // whether the store is available.
            co_return true;
        }
        revision = changed->mod_revision;
        this->on_document(changed->value);
    }
    co_return true;
}

void store_watcher::log_watch(bool has_change)
{
    const bool failed = !has_change && this->client.has_watch_failed();
    // A store that refuses all watches is asked again ten times a second.
    if (failed && !this->watch_failing)
    {
        log_line(log_level::warning, "store_watch_failed")
            .field("detail", std::string_view(this->client.last_reason()));
    }
    this->watch_failing = failed;
}

asio::awaitable<void> store_watcher::sleep(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::chrono::milliseconds store_watcher::backoff()
{
    const unsigned doublings = std::min(this->failures, max_doublings);
    const auto max_delay =
        std::min(max_backoff, min_backoff * (1U << doublings));
    std::uniform_int_distribution<std::int64_t> distribution(
        1, max_delay.count());
    return std::chrono::milliseconds(distribution(this->random));
}

} // namespace masticslip
