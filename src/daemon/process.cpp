#include "process.hpp"

#include "masticslip/core/entry_core.hpp"

#include <boost/json/serialize.hpp>

#include <csignal>

namespace masticslip
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_listed_flows = 1000;
constexpr std::size_t max_history = 64;

instance_id make_instance_id(const daemon_settings& settings)
{
    return {settings.internal_bind.packed()};
}

} // namespace

time_point monotonic_now()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(now));
}

incarnation make_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<duration>(now).count();
    return {static_cast<std::uint64_t>(micros)};
}

process::process(asio::io_context& context, daemon_settings settings)
    : context(context), settings(std::move(settings)),
      identity{make_instance_id(this->settings), make_incarnation()},
      metrics(this->settings.name, this->identity.incarnation_number.value),
      transport(context, this->identity, this->settings.keys, this->metrics),
      admin(
          context,
          [this](http_request request, boost::beast::tcp_stream& stream)
          { return this->on_request(std::move(request), stream); }),
      tick_timer(context), signals(context, SIGTERM, SIGINT)
{
}

bool process::start(std::string& reason)
{
    const bool opened =
        this->transport.open(this->settings.internal_bind, reason) &&
        this->admin.open(this->settings.admin_bind, reason) &&
        this->open_role(reason);
    if (!opened)
    {
        return false;
    }
    this->transport.start(
        [this](const received_message& message) { this->on_message(message); },
        [this] { return this->in_force(); });
    this->wait_for_signal();
    this->schedule_tick();
    return true;
}

void process::schedule_tick()
{
    this->tick_timer.expires_after(tick_interval);
    this->tick_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
            {
                return;
            }
            const time_point now = monotonic_now();
            this->on_tick(now);
            this->record_generation();
            if (this->stopping && this->may_exit(now))
            {
                this->finish(now);
                return;
            }
            this->schedule_tick();
        });
}

generation process::in_force() const
{
    const auto current = this->current_configuration();
    return current ? current->number : 0;
}

void process::record_generation()
{
    const auto current = this->current_configuration();
    const bool known =
        !current || (!this->generation_history.empty() &&
                     this->generation_history.back().number == current->number);
    if (known)
    {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    this->generation_history.push_back(
        {current->number, std::chrono::duration_cast<duration>(now).count(),
         current->change.id});
    if (this->generation_history.size() > max_history)
    {
        this->generation_history.pop_front();
    }
}

json::array process::history() const
{
    json::array result;
    for (const auto& item : this->generation_history)
    {
        result.push_back(json::object{
            {"generation", item.number},
            {"since_us", item.since_us},
            {"change", item.change_id}});
    }
    return result;
}

void process::wait_for_signal()
{
    this->signals.async_wait(
        [this](const boost::system::error_code& error, int number)
        {
            if (error)
            {
                return;
            }
            log_line(log_level::info, "signal")
                .field("process", std::string_view(this->settings.name))
                .field("number", number);
            if (!this->stopping)
            {
                this->stopping = true;
                this->on_stop_requested(monotonic_now());
            }
            this->wait_for_signal();
        });
}

void process::finish(time_point now)
{
    this->before_exit(now);
    log_line(log_level::info, "stopped")
        .field("process", std::string_view(this->settings.name));
    this->admin.close();
    this->transport.close();
    this->signals.cancel();
    this->context.stop();
}

asio::awaitable<std::optional<http_response>>
process::on_request(http_request request, boost::beast::tcp_stream&)
{
    const std::string_view target(
        request.target().data(), request.target().size());
    const bool is_get = request.method() == http::verb::get;
    if (is_get && target == "/status")
    {
        co_return make_response(
            request, http::status::ok,
            json::serialize(this->status(monotonic_now())));
    }
    if (is_get && target == "/metrics")
    {
        co_return make_response(
            request, http::status::ok, this->metrics.prometheus(),
            "text/plain; version=0.0.4");
    }
    if (is_get && target == "/flows")
    {
        co_return make_response(
            request, http::status::ok,
            json::serialize(this->flows(max_listed_flows)));
    }
    if (request.method() == http::verb::post && target == "/configuration")
    {
        co_return this->handle_configuration_post(request);
    }
    co_return make_response(
        request, http::status::not_found, R"({"error":"no such resource"})");
}

http_response process::handle_configuration_post(const http_request& request)
{
    failure_reason reason;
    if (this->submit_configuration(request.body(), reason))
    {
        const json::object body{{"generation", this->in_force()}};
        return make_response(request, http::status::ok, json::serialize(body));
    }
    const json::object body{
        {"code", static_cast<unsigned>(reason.code)}, {"error", reason.text}};
    return make_response(
        request, http::status::bad_request, json::serialize(body));
}

} // namespace masticslip
