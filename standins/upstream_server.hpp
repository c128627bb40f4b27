#pragma once
/// CoAP server and control endpoint of the upstream stand-in.

#include "upstream_options.hpp"

#include "libcoap_codec.hpp"
#include "net/datagram_socket.hpp"
#include "net/http.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <fstream>
#include <iostream>
#include <map>

namespace masticslip::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

class upstream
{
public:
    upstream(asio::io_context& context, upstream_options options)
        : context(context), options(std::move(options)), socket(context),
          announce_timer(context), notify_timer(context)
    {
        this->restart();
    }

    bool open(std::string& reason)
    {
        if (!this->socket.open(this->options.bind, reason))
        {
            return false;
        }
        this->socket.start([this](const endpoint& from, byte_view datagram)
                           { this->on_datagram(from, datagram); });
        this->announce();
        this->notify_all();
        return true;
    }

    asio::awaitable<std::optional<http_response>>
    on_control(http_request request, boost::beast::tcp_stream&)
    {
        if (request.method() == http::verb::post)
        {
            const auto body = json::parse(request.body()).as_object();
            const auto action = std::string(body.at("action").as_string());
            if (action == "cold")
            {
                this->cold_until = steady::now() + this->options.cold_time;
            }
            this->draining = action == "drain";
        }
        co_return make_response(request, http::status::ok, this->statistics());
    }

private:
    /// A request that is queued or being processed.
    struct pending_request
    {
        endpoint from;
        coap_message request;
        std::unique_ptr<asio::steady_timer> timer;
        steady::time_point deadline;
        bool running = false;
    };

    std::string statistics() const
    {
        return json::serialize(json::object{
            {"epoch", this->epoch},
            {"executions", this->executions},
            {"collapses", this->collapses},
            {"shed", this->shed_count},
            {"peak_in_flight", this->peak},
            {"peak_in_flight_cold", this->peak_cold},
            {"packets", this->packets},
            {"early_packets", this->early_packets},
            {"last_packet_ms_ago", this->last_packet_age()},
            {"watches", this->observers.size()}});
    }

    bool is_cold() const
    {
        return steady::now() < this->cold_until;
    }

    std::int64_t last_packet_age() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   steady::now() - this->last_packet)
            .count();
    }

    void restart()
    {
        this->epoch = static_cast<std::uint64_t>(
            std::chrono::system_clock::now().time_since_epoch() / 1us);
        this->cold_until = steady::now() + this->options.cold_time;
        this->overloaded_since.reset();
        this->announcement_accepted = false;
        this->pending_requests.clear();
        this->observers.clear();
        this->uploads.clear();
    }

    /// True if a cold upstream has exceeded `cold_collapse_limit` pending
    /// requests for more than `collapse_after_service_times` service times.
    bool is_overloaded(std::uint32_t in_flight)
    {
        if (!this->is_cold() || in_flight <= cold_collapse_limit)
        {
            this->overloaded_since.reset();
            return false;
        }
        const auto now = steady::now();
        this->overloaded_since = this->overloaded_since.value_or(now);
        const auto limit =
            this->options.service_time * collapse_after_service_times;
        return now - *this->overloaded_since > limit;
    }

    void collapse()
    {
        ++this->collapses;
        this->restart();
        this->down_until = steady::now() + collapse_duration;
    }

    void on_datagram(const endpoint& from, byte_view datagram)
    {
        if (steady::now() < this->down_until)
        {
            return;
        }
        const auto request = this->codec.decode(datagram);
        if (request && request->type == coap_type::acknowledgement)
        {
            this->announcement_accepted = request->code == coap_code::changed;
            return;
        }
        if (!this->announcement_accepted)
        {
            // A packet that arrives before the companion has accepted the
            // announcement was sent to a previous upstream at this address.
            ++this->early_packets;
            return;
        }
        ++this->packets;
        this->last_packet = steady::now();
        if (!request)
        {
            return;
        }
        if (request->type == coap_type::reset)
        {
            return;
        }
        if (!request->is_request())
        {
            return;
        }
        if (request->path() == "/masticslip/cancel")
        {
            this->cancel(request->token);
            return;
        }
        if (request->path() == "/health")
        {
            // Always reports an idle, warm server, whatever the actual load.
            this->answer(from, *request, coap_code::content, "ok load=0");
            return;
        }
        if (request->find_uint(coap_option_number::observe) == 1U)
        {
            this->observers.erase(request->token);
            return;
        }
        this->accept(from, *request);
    }

    void accept(const endpoint& from, const coap_message& request)
    {
        const auto in_flight =
            static_cast<std::uint32_t>(this->pending_requests.size()) + 1;
        this->peak = std::max(this->peak, in_flight);
        if (this->is_cold())
        {
            this->peak_cold = std::max(this->peak_cold, in_flight);
        }
        if (this->is_overloaded(in_flight))
        {
            this->collapse();
            return;
        }
        if (in_flight > 2 * this->options.slots)
        {
            ++this->shed_count;
            this->answer(from, request, coap_code::service_unavailable, "shed");
            return;
        }
        pending_request item{
            from, request, std::make_unique<asio::steady_timer>(this->context),
            steady::time_point::max(), false};
        if (const auto limit = request.find_uint(coap_option_number::deadline))
        {
            item.deadline = steady::now() + std::chrono::milliseconds(*limit);
        }
        this->pending_requests.emplace(request.token, std::move(item));
        this->start_next();
    }

    void start_next()
    {
        if (this->pending_requests.size() <= cold_collapse_limit)
        {
            this->overloaded_since.reset();
        }
        const std::uint32_t slots =
            this->is_cold() ? cold_slots : this->options.slots;
        std::uint32_t running = 0;
        for (const auto& [token, item] : this->pending_requests)
        {
            running += item.running ? 1 : 0;
        }
        for (auto& [token, item] : this->pending_requests)
        {
            if (running >= slots)
            {
                return;
            }
            if (!item.running)
            {
                ++running;
                this->start_processing(token, item);
            }
        }
    }

    void start_processing(const bytes& token, pending_request& item)
    {
        item.running = true;
        const int factor = this->is_cold() ? cold_slowdown : 1;
        item.timer->expires_after(this->options.service_time * factor);
        item.timer->async_wait(
            [this, token](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->finish(token);
                }
            });
    }

    void finish(const bytes& token)
    {
        auto node = this->pending_requests.extract(token);
        if (node.empty())
        {
            return;
        }
        pending_request& item = node.mapped();
        if (steady::now() <= item.deadline)
        {
            this->execute(item.from, item.request);
        }
        this->start_next();
    }

    void cancel(const bytes& token)
    {
        this->pending_requests.erase(token);
        this->observers.erase(token);
        this->start_next();
    }

    void execute(const endpoint& from, const coap_message& request)
    {
        const std::string path = request.path();
        if (path == "/board")
        {
            this->serve_board(from, request);
        }
        else if (path == "/signup")
        {
            this->record_execution("signup", to_text(request.payload));
            this->answer(from, request, coap_code::changed, "signed up");
        }
        else if (path == "/upload")
        {
            this->serve_upload(from, request);
        }
        else if (path == "/document")
        {
            this->serve_document(from, request);
        }
        else
        {
            this->answer(from, request, coap_code::not_found, "");
        }
    }

    void serve_board(const endpoint& from, const coap_message& request)
    {
        const bool registers =
            request.find_uint(coap_option_number::observe) == 0U;
        if (registers)
        {
            this->observers[request.token] = {from, request};
        }
        coap_message response =
            this->make_response_to(request, coap_code::content, this->board());
        if (registers)
        {
            response.set_uint(coap_option_number::observe, this->board_version);
        }
        this->socket.send(from, this->codec.encode(response));
    }

    void serve_upload(const endpoint& from, const coap_message& request)
    {
        const auto block = decode_block(
            request.find_uint(coap_option_number::block1).value_or(0));
        const auto* tag = request.find(coap_option_number::request_tag);
        const std::string key = tag != nullptr ? hex(tag->value) : "none";
        partial_upload& state = this->uploads[key];
        if (block.number != state.next_block)
        {
            this->uploads.erase(key);
            this->answer(from, request, coap_code::incomplete, "");
            return;
        }
        state.content += to_text(request.payload);
        ++state.next_block;
        coap_message response = this->make_response_to(
            request,
            block.more ? coap_code::continue_transfer : coap_code::changed, "");
        response.set_uint(coap_option_number::block1, encode_block(block));
        if (!block.more)
        {
            const std::size_t end = state.content.find('\n');
            this->record_execution(
                "upload", state.content.substr(0, end) +
                              " size=" + std::to_string(state.content.size()));
            this->uploads.erase(key);
        }
        this->socket.send(from, this->codec.encode(response));
    }

    void serve_document(const endpoint& from, const coap_message& request)
    {
        const auto* query = request.find(coap_option_number::uri_query);
        const std::string id = query != nullptr ? to_text(query->value) : "";
        const auto wanted = decode_block(
            request.find_uint(coap_option_number::block2).value_or(0));
        const block_value block{
            wanted.number, wanted.number + 1 < document_blocks, block_exponent};
        std::string content = id + " block " + std::to_string(block.number);
        content.resize(block.more ? block.size() : block.size() / 2, '.');
        coap_message response =
            this->make_response_to(request, coap_code::content, content);
        response.set_uint(coap_option_number::block2, encode_block(block));
        this->socket.send(from, this->codec.encode(response));
    }

    std::string board() const
    {
        return this->options.service + " board " +
               std::to_string(this->board_version);
    }

    coap_message make_response_to(
        const coap_message& request, coap_code code, const std::string& text)
    {
        coap_message response;
        response.type = coap_type::non_confirmable;
        response.code = code;
        response.message_id = this->next_message_id++;
        response.token = request.token;
        response.payload.assign(text.begin(), text.end());
        return response;
    }

    void answer(
        const endpoint& to,
        const coap_message& request,
        coap_code code,
        const std::string& text)
    {
        this->socket.send(
            to,
            this->codec.encode(this->make_response_to(request, code, text)));
    }

    void record_execution(const std::string& resource, const std::string& id)
    {
        ++this->executions;
        if (!this->options.log_file.empty())
        {
            std::ofstream out(this->options.log_file, std::ios::app);
            out << this->epoch << ' ' << resource << ' ' << id << '\n';
        }
    }

    void announce()
    {
        if (steady::now() >= this->down_until)
        {
            coap_message message;
            message.type = coap_type::confirmable;
            message.code = coap_code::post;
            message.message_id = this->next_message_id++;
            message.add_text(coap_option_number::uri_path, "masticslip");
            message.add_text(coap_option_number::uri_path, "announcement");
            const std::string text = json::serialize(json::object{
                {"service", this->options.service},
                {"epoch", this->epoch},
                {"draining", this->draining}});
            message.payload.assign(text.begin(), text.end());
            this->socket.send(
                this->options.companion, this->codec.encode(message));
        }
        this->announce_timer.expires_after(announce_interval);
        this->announce_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->announce();
                }
            });
    }

    void notify_all()
    {
        ++this->board_version;
        if (steady::now() >= this->down_until)
        {
            for (const auto& [token, item] : this->observers)
            {
                coap_message message = this->make_response_to(
                    item.request, coap_code::content, this->board());
                message.set_uint(
                    coap_option_number::observe, this->board_version);
                this->socket.send(item.to, this->codec.encode(message));
            }
        }
        this->notify_timer.expires_after(this->options.notify_interval);
        this->notify_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->notify_all();
                }
            });
    }

    asio::io_context& context;
    upstream_options options;
    libcoap_codec codec;
    datagram_socket socket;
    asio::steady_timer announce_timer;
    asio::steady_timer notify_timer;
    std::map<bytes, pending_request> pending_requests;
    std::map<bytes, board_observer> observers;
    std::map<std::string, partial_upload> uploads;
    std::uint64_t epoch = 0;
    steady::time_point cold_until;
    steady::time_point down_until;
    std::optional<steady::time_point> overloaded_since;
    steady::time_point last_packet = steady::now();
    std::uint32_t board_version = 0;
    /// Highest number of requests in progress, overall and during cold starts.
    std::uint32_t peak = 0;
    std::uint32_t peak_cold = 0;
    std::uint64_t executions = 0;
    std::uint64_t collapses = 0;
    /// Requests refused because too many were in progress.
    std::uint64_t shed_count = 0;
    std::uint64_t packets = 0;
    std::uint16_t next_message_id = 1;
    /// Packets received before the companion accepted the announcement.
    std::uint64_t early_packets = 0;
    bool draining = false;
    bool announcement_accepted = false;
};

} // namespace masticslip::standins
