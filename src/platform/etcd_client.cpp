#include "etcd_client.hpp"

#include "net/http.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include <sodium.h>

namespace masticslip
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace
{

std::int64_t read_int(const json::value* value)
{
    if (value == nullptr)
    {
        return 0;
    }
    if (const auto* text = value->if_string())
    {
        return std::strtoll(text->c_str(), nullptr, 10);
    }
    json::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? 0 : number;
}

std::string read_base64(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    const auto* text = value != nullptr ? value->if_string() : nullptr;
    return text == nullptr ? "" : decode_base64(*text).value_or("");
}

key_value read_key_value(const json::value& value)
{
    const auto* object = value.if_object();
    if (object == nullptr)
    {
        return {};
    }
    return {
        read_base64(*object, "key"), read_base64(*object, "value"),
        read_int(object->if_contains("mod_revision"))};
}

std::optional<json::object> parse_object(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object())
    {
        return std::nullopt;
    }
    return value.get_object();
}

// Bodies are built outside the coroutines because GCC 12 miscompiles
// initializer lists whose lifetime spans a suspension point.

json::object make_range_body(const std::string& first, const std::string& end)
{
    json::object body{{"key", encode_base64(first)}};
    if (!end.empty())
    {
        body["range_end"] = encode_base64(end);
    }
    return body;
}

json::object make_transaction_body(const conditional_write& request)
{
    json::array puts;
    for (const auto& put : request.puts)
    {
        puts.push_back(json::object{
            {"request_put",
             {{"key", encode_base64(put.key)},
              {"value", encode_base64(put.value)}}}});
    }
    const json::object compare{
        {"key", encode_base64(request.compared_key)},
        {"target", "MOD"},
        {"result", "EQUAL"},
        {"mod_revision", std::to_string(request.expected_revision)}};
    return {
        {"compare", json::array{compare}},
        {"success", puts},
        {"failure", json::array{}}};
}

std::string make_watch_body(const std::string& key, std::int64_t revision)
{
    return json::serialize(json::object{
        {"create_request",
         {{"key", encode_base64(key)},
          {"start_revision", std::to_string(revision)}}}});
}

/// Returns the last event in one line of a watch stream.
std::optional<key_value> read_watch_event(std::string_view line)
{
    const auto root = parse_object(line);
    const auto* result = root ? root->if_contains("result") : nullptr;
    const auto* body = result != nullptr ? result->if_object() : nullptr;
    const auto* events =
        body != nullptr ? body->if_contains("events") : nullptr;
    const auto* list = events != nullptr ? events->if_array() : nullptr;
    if (list == nullptr || list->empty())
    {
        return std::nullopt;
    }
    const auto* event = list->back().if_object();
    const auto* item = event != nullptr ? event->if_contains("kv") : nullptr;
    if (item == nullptr)
    {
        return std::nullopt;
    }
    return read_key_value(*item);
}

} // namespace

asio::awaitable<std::optional<json::object>>
etcd_client::post(std::string target, const json::object& body)
{
    http_call call;
    call.server = this->servers[this->next_server % this->servers.size()];
    call.method = http::verb::post;
    call.target = std::move(target);
    call.body = json::serialize(body);
    call.timeout = this->timeout;
    ++this->call_count;
    const auto response = co_await send_http(std::move(call), this->reason);
    if (response && response->result() == http::status::ok)
    {
        auto object = parse_object(response->body());
        if (object)
        {
            co_return object;
        }
        this->reason = "the store's response is not a JSON object";
    }
    else if (response)
    {
        this->reason = "the store responded with HTTP " +
                       std::to_string(response->result_int());
    }
    ++this->next_server;
    co_return std::nullopt;
}

asio::awaitable<std::optional<std::vector<key_value>>>
etcd_client::range(std::string first, std::string end)
{
    const json::object body = make_range_body(first, end);
    const auto answer = co_await this->post("/v3/kv/range", body);
    if (!answer)
    {
        co_return std::nullopt;
    }
    std::vector<key_value> result;
    const auto* items = answer->if_contains("kvs");
    if (items != nullptr && items->is_array())
    {
        for (const auto& item : items->get_array())
        {
            result.push_back(read_key_value(item));
        }
    }
    co_return result;
}

asio::awaitable<write_outcome> etcd_client::write(conditional_write request)
{
    const json::object body = make_transaction_body(request);
    const auto answer = co_await this->post("/v3/kv/txn", body);
    if (!answer)
    {
        co_return write_outcome::unknown;
    }
    const auto* succeeded = answer->if_contains("succeeded");
    const bool applied =
        succeeded != nullptr && succeeded->is_bool() && succeeded->get_bool();
    co_return applied ? write_outcome::applied : write_outcome::conflict;
}

asio::awaitable<std::optional<key_value>> etcd_client::watch(
    std::string key, std::int64_t revision, std::chrono::milliseconds wait)
{
    const endpoint server =
        this->servers[this->next_server % this->servers.size()];
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(wait);
    ++this->call_count;
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await stream.async_connect(
        {asio::ip::address_v4(server.address), server.port}, token);
    http_request request(http::verb::post, "/v3/watch", 11);
    request.set(http::field::host, to_string(server));
    request.body() = make_watch_body(key, revision + 1);
    request.prepare_payload();
    if (!error)
    {
        co_await http::async_write(stream, request, token);
    }
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    if (!error)
    {
        co_await http::async_read_header(stream, buffer, parser, token);
    }
    std::string pending;
    std::array<char, 4096> chunk{};
    while (!error && !parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        co_await http::async_read_some(stream, buffer, parser, token);
        if (error == http::error::need_buffer)
        {
            error = {};
        }
        pending.append(chunk.data(), chunk.size() - body.size);
        std::size_t end = 0;
        while ((end = pending.find('\n')) != std::string::npos)
        {
            auto event = read_watch_event(pending.substr(0, end));
            pending.erase(0, end + 1);
            if (event)
            {
                co_return event;
            }
        }
    }
    this->watch_failed = error != beast::error::timeout;
    this->reason =
        "watch ended: " + (error ? error.message() : "closed by the store");
    ++this->next_server;
    co_return std::nullopt;
}

std::string prefix_end(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

std::string encode_base64(std::string_view text)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string result(sodium_base64_encoded_len(text.size(), variant), '\0');
    sodium_bin2base64(
        result.data(), result.size(),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(),
        variant);
    result.pop_back();
    return result;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    std::string result(text.size(), '\0');
    std::size_t size = 0;
    const int failed = sodium_base642bin(
        reinterpret_cast<unsigned char*>(result.data()), result.size(),
        text.data(), text.size(), nullptr, &size, nullptr,
        sodium_base64_VARIANT_ORIGINAL);
    if (failed != 0)
    {
        return std::nullopt;
    }
    result.resize(size);
    return result;
}

} // namespace masticslip
