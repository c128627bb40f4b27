#include "member_registration.hpp"

#include "telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace masticslip
{

namespace asio = boost::asio;

namespace
{

/// Lifetime of the lease: longer than a restart, so that a process which comes
/// back keeps its place, and short, so that lost machines are soon unlisted.
constexpr std::chrono::milliseconds lease_lifetime{4'000};
/// Renewals in one lifetime.
constexpr int renewals_per_lifetime = 3;
/// Pause after a failed call: the key is back within two seconds of the
/// store's return.
constexpr std::chrono::milliseconds retry_pause{500};
/// A key that was written within this time may not be seen by others yet.
constexpr std::chrono::seconds visible_after{1};

} // namespace

member_registration::member_registration(
    asio::io_context& context,
    key_value_store& store,
    std::string key,
    std::chrono::milliseconds min_lease)
    : store(store), context(context), timer(context), key(std::move(key)),
      lifetime(std::max(lease_lifetime, min_lease))
{
}

void member_registration::start(std::string text)
{
    this->value = std::move(text);
    asio::co_spawn(this->context, this->run(), asio::detached);
}

void member_registration::on_missing()
{
    const auto age = std::chrono::steady_clock::now() - this->written_at;
    if (this->is_written && age > visible_after)
    {
        this->is_written = false;
        this->timer.cancel();
    }
}

asio::awaitable<void> member_registration::withdraw()
{
    this->is_withdrawn = true;
    const auto result = co_await this->store.remove(this->key);
    this->note("remove", result.status, result.reason);
}

asio::awaitable<void> member_registration::run()
{
    while (!this->is_withdrawn)
    {
        bool done = true;
        if (this->lease == 0)
        {
            done = co_await this->grant();
        }
        else if (!this->is_written)
        {
            done = co_await this->write();
        }
        else
        {
            done = co_await this->renew();
        }
        const bool is_settled = this->lease != 0 && this->is_written;
        if (!done)
        {
            co_await this->pause(retry_pause);
        }
        else if (is_settled)
        {
            co_await this->pause(this->lifetime / renewals_per_lifetime);
        }
    }
}

asio::awaitable<bool> member_registration::grant()
{
    const auto result = co_await this->store.grant_lease(this->lifetime);
    if (result.value)
    {
        this->lease = result.value->id;
        this->is_written = false;
    }
    co_return this->note("lease", result.status, result.reason);
}

asio::awaitable<bool> member_registration::write()
{
    const auto result =
        co_await this->store.put(this->key, this->value, this->lease);
    if (result.status == store_status::not_found)
    {
        this->lease = 0;
    }
    if (result.value && !this->is_withdrawn)
    {
        this->is_written = true;
        this->written_at = std::chrono::steady_clock::now();
        log_line(log_level::info, "registered")
            .field("key", this->key)
            .field("revision", *result.value);
    }
    co_return this->note("write", result.status, result.reason);
}

asio::awaitable<bool> member_registration::renew()
{
    const auto result = co_await this->store.renew_lease(this->lease);
    if (result.status == store_status::not_found)
    {
        log_line(log_level::warning, "lease_ended").field("key", this->key);
        this->lease = 0;
        this->is_written = false;
        co_return true;
    }
    co_return this->note("renew", result.status, result.reason);
}

asio::awaitable<void> member_registration::pause(std::chrono::milliseconds time)
{
    this->timer.expires_after(time);
    boost::system::error_code cancelled;
    co_await this->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
}

bool member_registration::note(
    const char* call, store_status status, const std::string& reason)
{
    const bool done = status == store_status::done;
    if (!done && this->failures++ == 0)
    {
        log_line(log_level::warning, "registration_failed")
            .field("key", this->key)
            .field("call", call)
            .field("status", to_string(status))
            .field("reason", reason);
    }
    else if (done && this->failures != 0)
    {
        log_line(log_level::info, "registration_regained")
            .field("key", this->key)
            .field("failures", this->failures);
        this->failures = 0;
    }
    return done;
}

} // namespace masticslip
