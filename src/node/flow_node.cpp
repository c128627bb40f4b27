#include "flow_node.hpp"

#include "masticslip/wire/flow_message_codec.hpp"
#include "policy_document.hpp"
#include "telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace masticslip
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

/// Largest datagram on the packet path: a header and 1,200 bytes of payload,
/// with room for the envelope of a returned packet.
constexpr std::size_t max_datagram_size = 2'048;
constexpr char policy_path[] = "/policy";
constexpr char metrics_path[] = "/metrics";
constexpr std::chrono::milliseconds policy_timeout{1'000};
/// A request for a policy that takes longer than this may come from a peer with
/// a busy link: the next peer that has a newer policy is asked, too.
constexpr std::chrono::milliseconds policy_request_patience{500};
constexpr std::size_t max_policy_requests = 4;
/// Gauges are also logged at this interval, for deployments without metrics.
constexpr std::chrono::seconds gauge_log_interval{10};
/// Malformed datagrams are logged at most this often.
constexpr std::chrono::seconds malformed_log_interval{1};

/// Value of the gauge while there is no evidence.
constexpr double no_evidence = -1;

double in_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

std::string member_prefix()
{
    return "masticslip/companions/";
}

flow_node::flow_node(
    asio::io_context& context,
    node_settings values,
    const packet_codec& codec,
    key_value_store& store)
    : context(context), settings(std::move(values)), codec(codec), store(store),
      packet_socket(context, max_datagram_size),
      control_socket(context, max_datagram_size),
      policy_server(
          context,
          [this](http_request request, boost::beast::tcp_stream&)
              -> asio::awaitable<std::optional<http_response>>
          { co_return this->handle_policy_request(request); }),
      metrics_server(
          context,
          [this](http_request request, boost::beast::tcp_stream&)
              -> asio::awaitable<std::optional<http_response>>
          {
              if (request.target() != metrics_path)
              {
                  co_return make_response(
                      request, http::status::not_found, "no such page\n",
                      "text/plain");
              }
              co_return make_response(
                  request, http::status::ok, this->metrics_text(),
                  "text/plain; version=0.0.4");
          }),
      timer(context)
{
}

bool flow_node::start(std::string& reason)
{
    const bool opened =
        this->packet_socket.open(this->settings.packet_address, reason) &&
        this->control_socket.open(this->settings.control_address, reason) &&
        this->policy_server.open(this->settings.control_address, reason) &&
        (!this->settings.metrics_address ||
         this->metrics_server.open(*this->settings.metrics_address, reason)) &&
        this->open_role(reason);
    if (!opened)
    {
        return false;
    }
    this->packet_socket.start([this](const endpoint& sender, byte_view datagram)
                              { this->on_packet(sender, datagram); });
    this->control_socket.start(
        [this](const endpoint& sender, byte_view datagram)
        { this->on_control_datagram(sender, datagram); });
    this->schedule_tick();
    return true;
}

void flow_node::refresh_gauges()
{
    this->update_gauges(node_now());
    this->telemetry.set_gauge(
        "store_calls", static_cast<double>(this->store.call_count()));
    this->telemetry.set_gauge(
        "policy_revision",
        static_cast<double>(this->shared_policy()->position().revision));
    this->telemetry.set_gauge(
        "policy_era",
        static_cast<double>(this->shared_policy()->position().era));
    this->telemetry.set_gauge(
        "store_era", static_cast<double>(this->store.newest_era().value_or(0)));
    const configuration& contents = this->shared_policy()->value();
    this->telemetry.set_gauge(
        "policy_routes", static_cast<double>(contents.routes.size()));
    this->telemetry.set_gauge(
        "policy_withdrawn_domains",
        static_cast<double>(contents.withdrawn_domains.size()));
    const policy_status status = this->status_of_policy(node_now());
    this->telemetry.set_gauge(
        "policy_version",
        static_cast<double>(this->shared_policy()->mark().version));
    this->telemetry.set_gauge(
        "policy_in_force_seconds", in_seconds(status.in_force_for));
    this->telemetry.set_gauge(
        "policy_evidence_age_seconds", status.evidence_age == duration::max()
                                           ? no_evidence
                                           : in_seconds(status.evidence_age));
}

std::string flow_node::metrics_text()
{
    this->refresh_gauges();
    const std::string source = source_text(this->status_of_policy(node_now()));
    return this->telemetry.prometheus() + "masticslip_policy_source{peer=\"" +
           source + "\"} 1\n";
}

void flow_node::log_gauges(time_point now)
{
    if (now < this->next_gauge_log)
    {
        return;
    }
    this->next_gauge_log = now + gauge_log_interval;
    this->refresh_gauges();
    log_line line(log_level::info, "state");
    for (const auto& [name, value] : this->telemetry.all_gauges())
    {
        line.field(name, static_cast<std::int64_t>(value));
    }
    line.field("policy_source", source_text(this->status_of_policy(now)));
}

void flow_node::observe_store_era()
{
    const auto era = this->store.newest_era();
    if (era == this->store_era)
    {
        return;
    }
    // The first era that a process sees is not a restoration.
    if (this->store_era)
    {
        this->telemetry.count("store_restorations_total");
        log_line(log_level::warning, "store_restored")
            .field("era", *era)
            .field("previous_era", *this->store_era);
    }
    this->store_era = era;
}

void flow_node::send_control(instance_id to, const flow_message& message)
{
    this->control_socket.send(to.address(), encode_flow_message(message));
}

void flow_node::send_reset(const flow_endpoints& flow, std::uint32_t sequence)
{
    this->packet_socket.send(
        {flow.caller.address, this->settings.caller_port},
        this->codec.encode_reset(flow, sequence));
}

void flow_node::on_control_datagram(const endpoint& sender, byte_view datagram)
{
    failure_reason reason;
    const auto message = decode_flow_message(datagram, reason);
    if (!message)
    {
        this->report_malformed("control", reason);
        return;
    }
    this->on_control(node_now(), {sender.packed()}, *message);
    this->schedule_tick();
}

void flow_node::report_malformed(
    const char* where, const failure_reason& reason)
{
    this->telemetry.count("malformed_datagrams_total");
    const time_point now = node_now();
    if (now - this->last_malformed_log >= malformed_log_interval)
    {
        this->last_malformed_log = now;
        log_line(log_level::warning, "datagram_refused")
            .field("where", where)
            .field("code", to_string(reason.code))
            .field("reason", reason.text);
    }
}

void flow_node::schedule_tick()
{
    const time_point now = node_now();
    if (this->next_tick <= now)
    {
        this->next_tick = now + this->tick_interval();
    }
    const auto deadline = this->next_deadline();
    const time_point due =
        deadline && *deadline < this->next_tick ? *deadline : this->next_tick;
    if (this->timer_expiry > now && this->timer_expiry <= due)
    {
        return;
    }
    this->timer_expiry = due;
    this->timer.expires_after(due - now);
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
            {
                return;
            }
            this->timer_expiry = {};
            this->observe_store_era();
            this->on_tick(node_now());
            this->log_gauges(node_now());
            this->schedule_tick();
        });
}

void flow_node::request_policy(instance_id from)
{
    const time_point now = node_now();
    const bool is_recent = std::any_of(
        this->policy_requests.begin(), this->policy_requests.end(),
        [now](const auto& item)
        { return now - item.second < policy_request_patience; });
    if (is_recent || this->policy_requests.contains(from) ||
        this->policy_requests.size() >= max_policy_requests)
    {
        return;
    }
    this->policy_requests[from] = now;
    asio::co_spawn(this->context, this->fetch_policy(from), asio::detached);
}

asio::awaitable<void> flow_node::fetch_policy(instance_id from)
{
    http_call call;
    call.server = from.address();
    call.target = policy_path;
    call.timeout = policy_timeout;
    std::string transport_error;
    const auto response = co_await send_http(call, transport_error);
    this->policy_requests.erase(from);
    if (!response || response->result() != http::status::ok)
    {
        log_line(log_level::warning, "policy_fetch_failed")
            .field("peer", to_string(from.address()))
            .field(
                "reason", response ? "HTTP status " +
                                         std::to_string(response->result_int())
                                   : transport_error);
        co_return;
    }
    failure_reason reason;
    auto value = parse_policy(response->body(), node_now(), reason);
    if (!value)
    {
        this->report_refused_policy("peer", to_string(from.address()), reason);
        co_return;
    }
    this->apply_policy(
        node_now(), std::make_shared<policy>(std::move(*value)), from);
}

void flow_node::report_refused_policy(
    const char* origin, const std::string& name, const failure_reason& reason)
{
    const bool is_absent = reason.code == result_code::config_not_found;
    if (!is_absent)
    {
        this->telemetry.count("policies_refused_total");
    }
    log_line(is_absent ? log_level::info : log_level::error, "policy_refused")
        .field(origin, name)
        .field("in_force", this->shared_policy()->mark().version)
        .field("code", to_string(reason.code))
        .field("reason", reason.text);
}

http_response flow_node::handle_policy_request(const http_request& request)
{
    const auto current = this->shared_policy();
    if (request.target() != policy_path || !current->is_known())
    {
        return make_response(
            request, http::status::not_found, "no such page\n", "text/plain");
    }
    if (this->served_mark != current->mark() ||
        !current->carried().domains.empty())
    {
        this->served_mark = current->mark();
        this->served_document = serialize_policy(*current, node_now());
    }
    return make_response(
        request, http::status::ok, this->served_document,
        "application/octet-stream");
}

} // namespace masticslip
