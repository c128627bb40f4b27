// Stand-in for the platform's key-value service: the subset of the etcd v3
// JSON interface that masticslip uses, with fault injection and call counts.
//
// Faults are set by POST /standin/fault {"mode": ..., "delay_ms": ...}:
//   none           answers normally
//   down           closes every connection without an answer
//   slow           answers after delay_ms
//   lose_answers   applies writes, then closes without an answer; reads are
//                  answered normally
//   no_watch       closes watches without an answer; answers all else normally
// POST /standin/copy keeps a copy of the keys and the revision.
// POST /standin/restore goes back to it; later revisions are given out again.
// GET /standin/counts returns the number of calls by request target and the
// number of waiting watches.

#include "net/http.hpp"
#include "platform/etcd_client.hpp"
#include "settings/setting_table.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>
#include <list>
#include <map>

namespace masticslip::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr const char* stream_header =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

struct stored_value
{
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t create_revision = 0;
    std::int64_t lease = 0;
};

struct store_copy
{
    std::map<std::string, stored_value> values;
    std::int64_t revision = 1;
};

struct waiting_watch
{
    std::string key;
    std::int64_t start_revision = 0;
    asio::steady_timer* timer = nullptr;
};

std::int64_t to_int(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr)
    {
        return 0;
    }
    if (value->is_string())
    {
        return std::strtoll(value->get_string().c_str(), nullptr, 10);
    }
    json::error_code error;
    return value->to_number<std::int64_t>(error);
}

std::string decode_field(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
    {
        return {};
    }
    return decode_base64(value->get_string()).value_or("");
}

class store
{
public:
    explicit store(asio::io_context& context) : context(context)
    {
    }

    asio::awaitable<std::optional<http_response>>
    on_request(http_request request, boost::beast::tcp_stream& stream)
    {
        const std::string target(request.target());
        if (target.starts_with("/standin/"))
        {
            co_return this->control(request);
        }
        ++this->counts[target];
        if (this->mode == "down")
        {
            co_return std::nullopt;
        }
        if (this->mode == "slow")
        {
            asio::steady_timer timer(this->context, this->delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        json::error_code error;
        const json::value body = json::parse(request.body(), error);
        if (error || !body.is_object())
        {
            co_return make_response(
                request, http::status::bad_request, R"({"error":"not JSON"})");
        }
        if (target == "/v3/watch")
        {
            if (this->mode != "no_watch")
            {
                co_await this->watch(body.get_object(), stream);
            }
            co_return std::nullopt;
        }
        const auto answer = this->answer(target, body.get_object());
        const bool writes = target != "/v3/kv/range";
        if (this->mode == "lose_answers" && writes)
        {
            co_return std::nullopt;
        }
        co_return make_response(
            request,
            answer.empty() ? http::status::not_found : http::status::ok,
            json::serialize(answer));
    }

private:
    json::object answer(const std::string& target, const json::object& body)
    {
        this->delete_expired_keys();
        if (target == "/v3/kv/range")
        {
            return this->range(body);
        }
        if (target == "/v3/kv/put")
        {
            this->put(body);
            return this->with_header({});
        }
        if (target == "/v3/kv/txn")
        {
            return this->transact(body);
        }
        if (target == "/v3/lease/grant")
        {
            const std::int64_t id = ++this->last_lease;
            this->leases[id] = std::chrono::steady_clock::now() +
                               std::chrono::seconds(to_int(body, "TTL"));
            return this->with_header({{"ID", std::to_string(id)}});
        }
        return {};
    }

    json::object range(const json::object& body)
    {
        const std::string first = decode_field(body, "key");
        const std::string end = decode_field(body, "range_end");
        json::array items;
        for (const auto& [key, item] : this->values)
        {
            const bool in_range =
                end.empty() ? key == first : key >= first && key < end;
            if (in_range)
            {
                items.push_back(this->to_json(key, item));
            }
        }
        return this->with_header(
            {{"kvs", items}, {"count", std::to_string(items.size())}});
    }

    json::object transact(const json::object& body)
    {
        bool compare_succeeded = true;
        for (const auto& item : body.at("compare").as_array())
        {
            const auto& compare = item.as_object();
            const auto found = this->values.find(decode_field(compare, "key"));
            const std::int64_t revision =
                found == this->values.end() ? 0 : found->second.mod_revision;
            compare_succeeded = compare_succeeded &&
                                revision == to_int(compare, "mod_revision");
        }
        if (compare_succeeded)
        {
            for (const auto& item : body.at("success").as_array())
            {
                this->put(item.at("request_put").as_object());
            }
        }
        return this->with_header({{"succeeded", compare_succeeded}});
    }

    void put(const json::object& body)
    {
        const std::string key = decode_field(body, "key");
        stored_value& item = this->values[key];
        item.value = decode_field(body, "value");
        item.mod_revision = ++this->revision;
        item.lease = to_int(body, "lease");
        for (const auto& waiting : this->watches)
        {
            if (waiting.key == key)
            {
                waiting.timer->cancel();
            }
        }
    }

    asio::awaitable<void>
    watch(const json::object& body, boost::beast::tcp_stream& stream)
    {
        const auto& create = body.at("create_request").as_object();
        const std::string key = decode_field(create, "key");
        std::int64_t next_revision = to_int(create, "start_revision");
        boost::system::error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        stream.expires_never();
        co_await asio::async_write(
            stream, asio::buffer(std::string_view(stream_header)), token);
        while (!error && this->mode != "down" && this->mode != "no_watch")
        {
            const auto found = this->values.find(key);
            if (found != this->values.end() &&
                found->second.mod_revision >= next_revision)
            {
                next_revision = found->second.mod_revision + 1;
                co_await this->write_chunk(
                    stream, this->make_event(key, found->second));
                continue;
            }
            asio::steady_timer timer(this->context, std::chrono::seconds(1));
            const auto position = this->watches.insert(
                this->watches.end(), {key, next_revision, &timer});
            boost::system::error_code wait_error;
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, wait_error));
            this->watches.erase(position);
            if (!stream.socket().is_open() || this->peer_has_closed(stream))
            {
                co_return;
            }
        }
    }

    std::string make_event(const std::string& key, const stored_value& item)
    {
        const json::object event{
            {"type", "PUT"}, {"kv", this->to_json(key, item)}};
        return json::serialize(
            json::object{{"result", {{"events", json::array{event}}}}});
    }

    static bool peer_has_closed(boost::beast::tcp_stream& stream)
    {
        char octet = 0;
        const auto received = ::recv(
            stream.socket().native_handle(), &octet, 1,
            MSG_PEEK | MSG_DONTWAIT);
        return received == 0;
    }

    static asio::awaitable<void>
    write_chunk(boost::beast::tcp_stream& stream, std::string text)
    {
        text += '\n';
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        const std::string chunk = size.data() + text + "\r\n";
        boost::system::error_code error;
        co_await asio::async_write(
            stream, asio::buffer(chunk),
            asio::redirect_error(asio::use_awaitable, error));
    }

    http_response control(const http_request& request)
    {
        if (request.target() == "/standin/counts")
        {
            json::object result;
            for (const auto& [target, count] : this->counts)
            {
                result[target] = count;
            }
            result["waiting_watches"] = this->watches.size();
            return make_response(
                request, http::status::ok, json::serialize(result));
        }
        if (request.target() == "/standin/copy")
        {
            this->copy = {this->values, this->revision};
            return make_response(request, http::status::ok, "{}");
        }
        if (request.target() == "/standin/restore")
        {
            this->values = this->copy.values;
            this->revision = this->copy.revision;
            return make_response(request, http::status::ok, "{}");
        }
        const auto body = json::parse(request.body()).as_object();
        this->mode = std::string(body.at("mode").as_string());
        this->delay = std::chrono::milliseconds(to_int(body, "delay_ms"));
        for (const auto& waiting : this->watches)
        {
            waiting.timer->cancel();
        }
        return make_response(request, http::status::ok, "{}");
    }

    void delete_expired_keys()
    {
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(
            this->values,
            [&](const auto& item)
            {
                const auto lease = this->leases.find(item.second.lease);
                return lease != this->leases.end() && lease->second < now;
            });
    }

    [[nodiscard]] json::object with_header(json::object body) const
    {
        body["header"] =
            json::object{{"revision", std::to_string(this->revision)}};
        return body;
    }

    [[nodiscard]] json::object
    to_json(const std::string& key, const stored_value& item) const
    {
        return {
            {"key", encode_base64(key)},
            {"value", encode_base64(item.value)},
            {"mod_revision", std::to_string(item.mod_revision)}};
    }

    asio::io_context& context;
    std::map<std::string, stored_value> values;
    std::map<std::int64_t, std::chrono::steady_clock::time_point> leases;
    std::list<waiting_watch> watches;
    std::map<std::string, std::uint64_t> counts;
    std::string mode = "none";
    std::chrono::milliseconds delay{};
    std::int64_t revision = 1;
    store_copy copy;
    std::int64_t last_lease = 0;
};

} // namespace
} // namespace masticslip::standins

int main(int argc, char** argv)
{
    using namespace masticslip;
    const setting_table table(
        "store", "0.1.0",
        {{"bind", "HTTP address", "", required(endpoint_value())}});
    std::vector<std::string> faults;
    const auto values = table.read(argc, argv, faults);
    if (!values)
    {
        std::cerr << "store: " << faults.front() << '\n';
        return exit_usage;
    }
    boost::asio::io_context context(1);
    standins::store store(context);
    http_server server(
        context,
        [&store](http_request request, boost::beast::tcp_stream& stream)
        { return store.on_request(std::move(request), stream); });
    std::string reason;
    if (!server.open(*parse_endpoint(values->get("bind")), reason))
    {
        std::cerr << "store: " << reason << '\n';
        return EXIT_FAILURE;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}
