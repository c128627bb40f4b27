#include "companion_process.hpp"

#include "status_report.hpp"

#include <boost/json.hpp>

namespace masticslip
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_flow_sockets = 10'000;
constexpr const char* announcement_path = "/masticslip/announcement";

companion_settings make_core_settings(
    const daemon_settings& settings, const wire_identity& identity)
{
    companion_settings result;
    result.self = identity.self;
    result.incarnation_number = identity.incarnation_number;
    result.admin = settings.admin_bind;
    result.name = settings.name;
    result.failure_domain = settings.failure_domain;
    result.service = settings.service;
    result.seeds = settings.seeds;
    result.keys = settings.keys;
    result.policy = settings.policy;
    return result;
}

} // namespace

companion_process::companion_process(
    asio::io_context& context, daemon_settings settings)
    : process(context, std::move(settings)),
      core(
          make_core_settings(this->settings, this->identity),
          *this,
          this->metrics,
          this->coap),
      upstream_socket(context)
{
}

bool companion_process::open_role(std::string& reason)
{
    if (!this->upstream_socket.open(this->settings.upstream_bind, reason))
    {
        return false;
    }
    this->upstream_socket.start(
        [this](const endpoint& from, byte_view datagram)
        { this->on_upstream_datagram(from, datagram); });
    return true;
}

void companion_process::on_message(const received_message& message)
{
    this->core.on_message(monotonic_now(), message.header, message.body);
}

void companion_process::on_tick(time_point now)
{
    this->core.on_tick(now);
}

void companion_process::on_stop_requested(time_point now)
{
    this->core.start_drain(now);
    this->exit_deadline = now + this->settings.drain_limit;
}

bool companion_process::may_exit(time_point now)
{
    return this->core.is_drained(now) || now >= this->exit_deadline;
}

void companion_process::before_exit(time_point now)
{
    this->core.terminate_all(now);
    this->upstream_socket.close();
}

std::shared_ptr<const configuration>
companion_process::current_configuration() const
{
    return this->core.config().current();
}

json::object companion_process::status(time_point now)
{
    const companion_status state = this->core.status();
    this->metrics.set_gauge("flows", double(state.flows));
    this->metrics.set_gauge("watches", double(state.watches));
    this->metrics.set_gauge("in_flight", double(state.in_flight));
    this->metrics.set_gauge("limit", double(state.limit));
    this->metrics.set_gauge("generation", double(this->in_force()));
    const std::int64_t last_packet =
        milliseconds_since(state.last_upstream_packet, now);
    return {
        {"role", "companion"},
        {"name", this->settings.name},
        {"id", to_string(this->settings.internal_bind)},
        {"incarnation", this->identity.incarnation_number.value},
        {"state", to_string(this->core.self().state)},
        {"service", this->settings.service},
        {"failure_domain", this->settings.failure_domain},
        {"configuration", config_to_json(this->core.config())},
        {"history", this->history()},
        {"control_bytes_sent", this->transport.control_bytes()},
        {"flows", state.flows},
        {"redirects", state.redirects},
        {"watches", state.watches},
        {"requests_in_progress", state.requests_in_progress},
        {"records", state.records},
        {"in_flight", state.in_flight},
        {"limit", state.limit},
        {"upstream_present", state.upstream_present},
        {"withdrawn", state.withdrawn},
        {"draining", state.draining},
        {"last_upstream_packet_ms_ago", last_packet},
        {"upstream_packets", state.upstream_packets},
        {"requests_executed",
         this->metrics.count(event_kind::request_executed)},
        {"requests_refused", this->metrics.count(event_kind::request_refused)},
        {"requests_unknown", this->metrics.count(event_kind::request_unknown)}};
}

json::object companion_process::flows(std::size_t limit)
{
    json::array items;
    for (const auto& [flow, state] : this->core.flows())
    {
        if (items.size() == limit)
        {
            break;
        }
        items.push_back(json::object{
            {"caller", to_string(flow.caller)},
            {"watches", state.watches},
            {"requests", state.exchanges}});
    }
    return {
        {"owner", this->settings.name},
        {"total", this->core.flows().size()},
        {"flows", items}};
}

bool companion_process::submit_configuration(
    const std::string&, failure_reason& reason)
{
    reason.code = result_code::config_invalid;
    reason.text = "a companion receives the configuration from entries only";
    return false;
}

void companion_process::send(instance_id to, const internal_message& message)
{
    this->transport.send(to, message);
}

void companion_process::send_to_upstream(byte_view datagram)
{
    this->upstream_socket.send(this->settings.upstream_address, datagram);
}

void companion_process::send_datagram_to_upstream(
    const flow_key& flow, byte_view datagram)
{
    if (!this->flow_sockets.contains(flow))
    {
        this->open_flow_socket(flow);
    }
    const auto found = this->flow_sockets.find(flow);
    if (found != this->flow_sockets.end())
    {
        found->second->send(this->settings.upstream_address, datagram);
    }
}

void companion_process::close_datagram_flow(const flow_key& flow)
{
    this->flow_sockets.erase(flow);
}

void companion_process::on_upstream_datagram(
    const endpoint& from, byte_view datagram)
{
    if (from != this->settings.upstream_address)
    {
        this->metrics.count_refused_datagram(result_code::dropped_unauthentic);
        return;
    }
    const auto message = this->coap.decode(datagram);
    if (message && message->path() == announcement_path)
    {
        if (!this->handle_announcement(from, *message))
        {
            this->metrics.count_refused_datagram(
                result_code::dropped_malformed);
        }
        return;
    }
    this->core.on_upstream_datagram(monotonic_now(), datagram);
}

bool companion_process::handle_announcement(
    const endpoint& from, const coap_message& message)
{
    const auto announcement = parse_announcement(message.payload);
    if (!announcement)
    {
        return false;
    }
    const bool accepted =
        this->core.on_announcement(monotonic_now(), *announcement);
    if (message.type == coap_type::confirmable)
    {
        coap_message answer;
        answer.type = coap_type::acknowledgement;
        answer.code = accepted ? coap_code::changed : coap_code::forbidden;
        answer.message_id = message.message_id;
        answer.token = message.token;
        this->upstream_socket.send(from, this->coap.encode(answer));
    }
    return true;
}

void companion_process::open_flow_socket(const flow_key& flow)
{
    if (this->flow_sockets.size() >= max_flow_sockets)
    {
        return;
    }
    auto socket = std::make_unique<datagram_socket>(this->context);
    std::string reason;
    const endpoint local{this->settings.upstream_bind.address, 0};
    if (!socket->open(local, reason))
    {
        log_line(log_level::error, "flow_socket_unusable")
            .field("detail", std::string_view(reason));
        return;
    }
    socket->start(
        [this, flow](const endpoint& from, byte_view datagram)
        {
            if (from == this->settings.upstream_address)
            {
                this->core.on_flow_datagram(monotonic_now(), flow, datagram);
            }
        });
    this->flow_sockets.emplace(flow, std::move(socket));
}

} // namespace masticslip
