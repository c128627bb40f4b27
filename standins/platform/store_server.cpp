#include "store_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace masticslip::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace
{

constexpr std::chrono::hours unlimited{1};
/// Interval at which a watch checks for changes and expired leases.
constexpr std::chrono::milliseconds lease_check{50};

std::string encode(const std::string& text)
{
    std::string result(base64::encoded_size(text.size()), '\0');
    result.resize(base64::encode(result.data(), text.data(), text.size()));
    return result;
}

std::string decode(std::string_view text)
{
    std::string result(base64::decoded_size(text.size()), '\0');
    result.resize(
        base64::decode(result.data(), text.data(), text.size()).first);
    return result;
}

/// Percent-decoded value of a query parameter; empty if there is none.
std::string query_parameter(const http_request& request, std::string_view name)
{
    const std::string target(request.target());
    const std::string key_prefix = std::string(name) + "=";
    auto begin = target.find('?');
    while (begin != std::string::npos)
    {
        const auto end = target.find('&', begin + 1);
        const std::string part = target.substr(
            begin + 1, end == std::string::npos ? end : end - begin - 1);
        if (part.starts_with(key_prefix))
        {
            std::string result;
            for (std::size_t i = key_prefix.size(); i < part.size(); ++i)
            {
                if (part[i] == '%' && i + 2 < part.size())
                {
                    constexpr int hex = 16;
                    result += static_cast<char>(
                        std::stoi(part.substr(i + 1, 2), nullptr, hex));
                    i += 2;
                }
                else
                {
                    result += part[i];
                }
            }
            return result;
        }
        begin = end;
    }
    return {};
}

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t result = 0;
    std::from_chars(text.data(), text.data() + text.size(), result);
    return result;
}

/// Last segment of the request path.
std::string last_path_segment(const http_request& request)
{
    const std::string target(request.target());
    return target.substr(target.rfind('/') + 1);
}

} // namespace

store_server::store_server(asio::io_context& context)
    : context(context),
      server(
          context,
          [this](http_request request, boost::beast::tcp_stream& stream)
          { return this->on_request(std::move(request), stream); }),
      changed(context)
{
    this->changed.expires_after(unlimited);
}

bool store_server::open(const endpoint& local, std::string& reason)
{
    return this->server.open(local, reason);
}

void store_server::put(
    const std::string& key, const std::string& value, std::uint64_t lease)
{
    ++this->revision;
    const auto found = this->items.find(key);
    const std::uint64_t created =
        found == this->items.end() ? this->revision : found->second.created;
    this->items[key] = {value, this->revision, created, lease};
    this->history.push_back({key, this->revision, false, value});
    this->keep_copy();
    this->changed.cancel();
}

void store_server::write(const std::string& key, const std::string& value)
{
    this->put(key, value, 0);
}

void store_server::remove(const std::string& key)
{
    if (this->items.erase(key) != 0)
    {
        this->history.push_back({key, ++this->revision, true, {}});
        this->keep_copy();
        this->changed.cancel();
    }
}

void store_server::compact()
{
    this->history.clear();
    this->oldest_revision = this->revision + 1;
    this->changed.cancel();
}

void store_server::expire_all_leases()
{
    for (auto& lease : this->leases)
    {
        lease.second = {};
    }
    this->expire_leases();
}

void store_server::expire_lease_of(const std::string& key)
{
    const auto lease = this->leases.find(this->lease_of(key));
    if (lease != this->leases.end())
    {
        lease->second = {};
        this->expire_leases();
    }
}

void store_server::expire_leases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = this->leases.begin(); lease != this->leases.end();)
    {
        if (lease->second > now)
        {
            ++lease;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto& [key, value] : this->items)
        {
            if (value.lease == lease->first)
            {
                ended.push_back(key);
            }
        }
        lease = this->leases.erase(lease);
        this->keep_copy();
        for (const auto& key : ended)
        {
            this->remove(key);
        }
    }
}

store_server::answer
store_server::on_request(http_request request, boost::beast::tcp_stream& stream)
{
    auto response = co_await this->answer_request(std::move(request), stream);
    if (response && this->era)
    {
        response->set("Store-Era", std::to_string(*this->era));
    }
    co_return response;
}

store_server::answer store_server::answer_request(
    http_request request, boost::beast::tcp_stream& stream)
{
    ++this->calls;
    this->expire_leases();
    switch (this->fault)
    {
    case store_fault::busy:
        co_return make_response(
            request, http::status::service_unavailable, "{}");
    case store_fault::limited:
        co_return make_response(request, http::status::too_many_requests, "{}");
    case store_fault::reset:
        stream.socket().close();
        co_return std::nullopt;
    case store_fault::silent:
        co_return co_await this->stay_silent();
    case store_fault::lost:
        co_await this->handle(request);
        stream.socket().close();
        co_return std::nullopt;
    case store_fault::slow:
    {
        asio::steady_timer timer(this->context, this->delay);
        co_await timer.async_wait(asio::use_awaitable);
        break;
    }
    case store_fault::late:
        asio::co_spawn(
            this->context, this->handle_later(std::move(request)),
            asio::detached);
        stream.socket().close();
        co_return std::nullopt;
    case store_fault::unreadable:
        co_return make_response(request, http::status::ok, "\xff{");
    case store_fault::none:
        break;
    }
    co_return co_await this->handle(request);
}

store_server::answer store_server::stay_silent()
{
    asio::steady_timer timer(this->context, unlimited);
    boost::system::error_code ended;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ended));
    co_return std::nullopt;
}

asio::awaitable<void> store_server::handle_later(http_request request)
{
    asio::steady_timer timer(this->context, this->delay);
    co_await timer.async_wait(asio::use_awaitable);
    co_await this->handle(request);
}

store_server::answer store_server::handle(const http_request& request)
{
    const std::string_view target(
        request.target().data(), request.target().size());
    if (target.starts_with("/api/kv-range"))
    {
        co_return this->read_range(request);
    }
    if (target.starts_with("/api/kv-watch"))
    {
        co_return co_await this->wait_for_changes(request);
    }
    const bool is_write = target.starts_with("/api/kv-txn") ||
                          target.starts_with("/api/kv-lease");
    if (is_write && !this->admit_write())
    {
        co_return make_response(request, http::status::too_many_requests, "{}");
    }
    if (target.starts_with("/api/kv-txn"))
    {
        co_return this->apply_transaction(request);
    }
    if (target.starts_with("/api/kv-lease") ||
        target.starts_with("/api/kv-keep"))
    {
        co_return this->grant_or_renew_lease(request);
    }
    co_return make_response(request, http::status::not_found, "{}");
}

bool store_server::admit_write()
{
    if (this->writes_per_second == 0)
    {
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    while (!this->recent_writes.empty() &&
           now - this->recent_writes.front() >= std::chrono::seconds(1))
    {
        this->recent_writes.pop_front();
    }
    if (this->recent_writes.size() >= this->writes_per_second)
    {
        return false;
    }
    this->recent_writes.push_back(now);
    return true;
}

std::size_t store_server::count_of(const std::string& prefix) const
{
    std::size_t result = 0;
    for (auto item = this->items.lower_bound(prefix);
         item != this->items.end() && item->first.starts_with(prefix); ++item)
    {
        ++result;
    }
    return result;
}

json::object
store_server::to_json(const std::string& key, const item& value) const
{
    json::object result{
        {"key", key},
        {"value", this->garbles_values ? "***" : encode(value.value)},
        {"revision", value.revision},
        {"create_revision", value.created},
        {"lease", value.lease}};
    if (this->omits_keys)
    {
        result.erase("key");
    }
    return result;
}

http_response store_server::read_range(const http_request& request)
{
    const std::string prefix = query_parameter(request, "prefix");
    const std::string after = query_parameter(request, "after");
    json::array page;
    bool more = false;
    for (auto found = after.empty() ? this->items.lower_bound(prefix)
                                    : this->items.upper_bound(after);
         found != this->items.end() && found->first.starts_with(prefix);
         ++found)
    {
        if (page.size() == this->page_size)
        {
            more = true;
            break;
        }
        page.emplace_back(this->to_json(found->first, found->second));
    }
    return make_response(
        request, http::status::ok,
        json::serialize(json::object{
            {"items", page},
            {"more_pages", more},
            {"store_revision", this->revision}}));
}

store_server::answer store_server::wait_for_changes(const http_request& request)
{
    const std::string prefix = query_parameter(request, "prefix");
    const std::uint64_t after = parse_number(query_parameter(request, "after"));
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(
                         parse_number(query_parameter(request, "wait_ms")));
    const std::uint64_t generation = this->silenced_generation;
    for (;;)
    {
        if (generation != this->silenced_generation)
        {
            co_return co_await this->stay_silent();
        }
        this->expire_leases();
        const bool is_unknown =
            after + 1 < this->oldest_revision || after > this->revision;
        if (is_unknown)
        {
            co_return make_response(request, http::status::gone, "{}");
        }
        json::array events;
        for (const auto& item : this->history)
        {
            if (item.revision <= after || !item.key.starts_with(prefix))
            {
                continue;
            }
            json::object event{{"key", item.key}, {"revision", item.revision}};
            if (item.removed)
            {
                event["removed"] = true;
            }
            else
            {
                event["value"] = encode(item.value);
            }
            events.emplace_back(event);
        }
        const auto now = std::chrono::steady_clock::now();
        if (!events.empty() || now >= end)
        {
            co_return make_response(
                request, http::status::ok,
                json::serialize(json::object{
                    {"events", events}, {"store_revision", this->revision}}));
        }
        asio::steady_timer pause(this->context, lease_check);
        boost::system::error_code ended;
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ended));
    }
}

http_response store_server::apply_transaction(const http_request& request)
{
    const json::object body = json::parse(request.body()).as_object();
    for (const auto& value : body.at("expect").as_array())
    {
        const auto& expected = value.as_object();
        const auto found =
            this->items.find(std::string(expected.at("key").as_string()));
        const std::uint64_t current =
            found == this->items.end() ? 0 : found->second.revision;
        if (current != expected.at("revision").to_number<std::uint64_t>())
        {
            return make_response(
                request, http::status::precondition_failed, "{}");
        }
    }
    for (const auto& value : body.at("put_items").as_array())
    {
        const auto& item = value.as_object();
        const auto* lease = item.if_contains("lease");
        const std::uint64_t id =
            lease == nullptr ? 0 : lease->to_number<std::uint64_t>();
        if (id != 0 && !this->leases.contains(id))
        {
            return make_response(request, http::status::not_found, "{}");
        }
        this->put(
            std::string(item.at("key").as_string()),
            decode(std::string(item.at("value").as_string())), id);
    }
    for (const auto& key : body.at("delete_keys").as_array())
    {
        this->remove(std::string(key.as_string()));
    }
    return make_response(
        request, http::status::ok,
        json::serialize(json::object{{"revision", this->revision}}));
}

http_response store_server::grant_or_renew_lease(const http_request& request)
{
    const std::string_view target(
        request.target().data(), request.target().size());
    std::uint64_t id = 0;
    if (target == "/api/kv-lease")
    {
        const auto body = json::parse(request.body()).as_object();
        this->lease_ttl =
            std::chrono::milliseconds(body.at("ttl_ms").to_number<int>());
        id = ++this->next_lease;
    }
    else
    {
        id = parse_number(last_path_segment(request));
        if (!this->leases.contains(id))
        {
            return make_response(request, http::status::not_found, "{}");
        }
    }
    const bool is_new = !this->leases.contains(id);
    this->leases[id] = std::chrono::steady_clock::now() + this->lease_ttl;
    if (is_new)
    {
        this->keep_copy();
    }
    return make_response(
        request, http::status::ok,
        json::serialize(
            json::object{{"lease", id}, {"ttl_ms", this->lease_ttl.count()}}));
}

} // namespace masticslip::standin
