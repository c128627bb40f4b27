#include "member_registration.hpp"

#include "telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace masticslip
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Lease lifetime: longer than a restart takes, so that a restarted process
/// stays registered, but short, so that lost machines are removed soon.
constexpr std::chrono::milliseconds lease_lifetime{4'000};
constexpr int renewals_per_lifetime = 3;
/// Delay after a failed call. The key is written within two seconds after the
/// store is available again.
constexpr std::chrono::milliseconds retry_interval{500};
/// A key written less than this long ago may not be visible to others yet.
constexpr std::chrono::seconds visibility_delay{1};
/// After the store was restored, the processes of a fleet register again within
/// this time, each at a moment that its key determines.
constexpr std::uint64_t registration_spread_ms = 1'000;
/// Prefix of the key that records that a process removed its own key. Outside
/// the prefixes that are watched, so it costs one write.
constexpr const char* departure_prefix = "masticslip/departed/";
/// Processes whose registrations were lost together have registered again
/// within this time: two seconds, and the time until the list is read.
constexpr std::chrono::seconds recovery_time{3};
constexpr const char* since_member = "continuous_since";
constexpr const char* era_member = "era";

/// The wall clock, which outlasts the process, unlike that of node_now().
std::chrono::milliseconds wall_time()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

/// Adds the record of continuity to a JSON object. Other texts are unchanged.
std::string with_record(
    const std::string& text, std::chrono::milliseconds since, std::uint64_t era)
{
    json::error_code error;
    json::value root = json::parse(text, error);
    json::object* object = error ? nullptr : root.if_object();
    if (object == nullptr)
    {
        return text;
    }
    (*object)[since_member] = since.count();
    (*object)[era_member] = era;
    return json::serialize(root);
}

/// A whole number of a JSON object; nullopt if it is missing.
std::optional<std::int64_t>
number_member(const json::object& object, const char* name)
{
    const json::value* found = object.if_contains(name);
    json::error_code error;
    const auto number =
        found == nullptr ? 0 : found->to_number<std::int64_t>(error);
    return found == nullptr || error ? std::nullopt : std::optional(number);
}

} // namespace

member_registration::member_registration(
    asio::io_context& context,
    key_value_store& store,
    std::string key,
    std::chrono::milliseconds min_lease,
    std::function<time_point()> now)
    : store(store), context(context), timer(context), key(std::move(key)),
      lifetime(std::max(lease_lifetime, min_lease)), now(std::move(now))
{
}

void member_registration::start(std::string text)
{
    this->value = std::move(text);
    asio::co_spawn(this->context, this->run(), asio::detached);
}

void member_registration::on_key_missing()
{
    const duration age = this->now() - this->written_at;
    if (this->is_written && age > visibility_delay)
    {
        this->is_written = false;
        this->is_kept = false;
        this->timer.cancel();
    }
}

void member_registration::on_era(std::uint64_t era)
{
    this->reported_era = std::max(this->reported_era, era);
    if (this->is_written && this->has_lease_of_earlier_era())
    {
        this->timer.cancel();
    }
}

std::uint64_t member_registration::known_era() const
{
    return std::max(this->store.newest_era().value_or(0), this->reported_era);
}

bool member_registration::has_lease_of_earlier_era() const
{
    return this->lease != 0 && this->lease_era < this->known_era();
}

asio::awaitable<void> member_registration::abandon_lease()
{
    const std::uint64_t era = this->known_era();
    log_line(log_level::warning, "lease_abandoned")
        .field("key", this->key)
        .field("era", this->lease_era)
        .field("newest_era", era);
    this->lease = 0;
    this->is_written = false;
    this->is_kept = false;
    const std::uint64_t hash =
        XXH3_64bits_withSeed(this->key.data(), this->key.size(), era);
    co_await this->pause(
        std::chrono::milliseconds(hash % registration_spread_ms));
}

asio::awaitable<void> member_registration::deregister()
{
    this->is_deregistered = true;
    if (this->lease != 0 && this->is_continuous())
    {
        // Expires with the lease, like the key.
        const auto recorded = co_await this->store.put(
            departure_prefix + this->key,
            with_record("{}", this->continuous_since, this->lease_era),
            this->lease);
        this->report_result("record", recorded.status, recorded.reason);
    }
    const auto result = co_await this->store.remove(this->key);
    this->report_result("remove", result.status, result.reason);
}

asio::awaitable<void> member_registration::run()
{
    co_await this->look_up();
    while (!this->is_deregistered)
    {
        bool done = true;
        if (this->has_lease_of_earlier_era())
        {
            co_await this->abandon_lease();
            continue;
        }
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
        if (this->has_lease_of_earlier_era())
        {
            // Reported during the call, when no timer was running that
            // on_era() could have cancelled.
            continue;
        }
        const bool is_registered = this->lease != 0 && this->is_written;
        if (!done)
        {
            co_await this->pause(retry_interval);
        }
        else if (is_registered)
        {
            co_await this->pause(this->lifetime / renewals_per_lifetime);
        }
    }
}

bool member_registration::is_continuous() const
{
    const time_point now = this->now();
    return this->is_written &&
           now - this->lease_confirmed_at < this->lifetime &&
           now >= this->continuous_at;
}

asio::awaitable<void> member_registration::look_up()
{
    auto value = co_await this->read_value(this->key);
    if (value && value->empty())
    {
        value = co_await this->read_value(departure_prefix + this->key);
    }
    const auto since = this->proven_since(value.value_or(std::string()));
    this->is_kept = since.has_value();
    this->continuous_since = since.value_or(std::chrono::milliseconds{});
    const auto remaining = std::max(
        std::chrono::milliseconds{}, this->continuous_since - wall_time());
    this->continuous_at = this->now() + remaining;
}

std::optional<std::chrono::milliseconds>
member_registration::proven_since(const std::string& text) const
{
    json::error_code error;
    const json::value root = json::parse(text, error);
    const json::object* object = error ? nullptr : root.if_object();
    if (object == nullptr)
    {
        return std::nullopt;
    }
    const auto since = number_member(*object, since_member);
    const auto era = number_member(*object, era_member);
    // A restored copy may lack the registrations of others.
    const bool is_of_this_era =
        era && static_cast<std::uint64_t>(*era) == this->read_era;
    // A registration that is still new when its process restarts goes on; a
    // later time is that of another clock.
    const auto latest = wall_time() + std::chrono::milliseconds(recovery_time);
    const bool is_plausible = since && *since <= latest.count();
    return is_of_this_era && is_plausible
               ? std::optional(std::chrono::milliseconds(*since))
               : std::nullopt;
}

asio::awaitable<std::optional<std::string>>
member_registration::read_value(std::string searched)
{
    const auto result = co_await this->store.read_range(searched);
    this->report_result("read", result.status, result.reason);
    if (!result.value)
    {
        co_return std::nullopt;
    }
    this->read_era = result.value->position.era;
    const auto& items = result.value->items;
    const auto found = std::find_if(
        items.begin(), items.end(),
        [&searched](const auto& item) { return item.key == searched; });
    co_return found == items.end() ? std::string() : found->value;
}

asio::awaitable<bool> member_registration::grant()
{
    const time_point asked_at = this->now();
    auto result = co_await this->store.grant_lease(this->lifetime);
    if (result.value && result.value->era < this->known_era())
    {
        result.status = store_status::outdated;
        result.reason = "a peer has seen a newer era";
    }
    else if (result.value)
    {
        this->lease = result.value->id;
        this->lease_era = result.value->era;
        // The store was restored since the key was read.
        this->is_kept = this->is_kept && this->lease_era == this->read_era;
        this->lease_confirmed_at = asked_at;
        this->is_written = false;
    }
    co_return this->report_result("lease", result.status, result.reason);
}

asio::awaitable<bool> member_registration::write()
{
    if (!this->is_kept)
    {
        this->continuous_since =
            wall_time() + std::chrono::milliseconds(recovery_time);
        this->continuous_at = this->now() + recovery_time;
    }
    const auto result = co_await this->store.put(
        this->key,
        with_record(this->value, this->continuous_since, this->lease_era),
        this->lease);
    if (result.status == store_status::not_found)
    {
        this->lease = 0;
    }
    const bool is_under_own_lease =
        result.value && result.value->era == this->lease_era;
    if (is_under_own_lease && !this->is_deregistered)
    {
        this->is_written = true;
        this->written_at = this->now();
        log_line(log_level::info, "registered")
            .field("key", this->key)
            .field("position", to_string(*result.value));
    }
    co_return this->report_result("write", result.status, result.reason);
}

asio::awaitable<bool> member_registration::renew()
{
    const time_point asked_at = this->now();
    const auto result = co_await this->store.renew_lease(this->lease);
    if (result.status == store_status::not_found)
    {
        log_line(log_level::warning, "lease_ended").field("key", this->key);
        this->lease = 0;
        this->is_written = false;
        this->is_kept = false;
        co_return true;
    }
    if (result.status == store_status::done)
    {
        this->lease_confirmed_at = asked_at;
    }
    co_return this->report_result("renew", result.status, result.reason);
}

asio::awaitable<void> member_registration::pause(std::chrono::milliseconds time)
{
    this->timer.expires_after(time);
    boost::system::error_code cancelled;
    co_await this->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
}

bool member_registration::report_result(
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
