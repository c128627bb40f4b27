#include "entry_process.hpp"

#include "status_report.hpp"

#include <boost/json/array.hpp>

namespace masticslip
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

entry_settings make_core_settings(
    const daemon_settings& settings, const wire_identity& identity)
{
    entry_settings result;
    result.self = identity.self;
    result.incarnation_number = identity.incarnation_number;
    result.admin = settings.admin_bind;
    result.name = settings.name;
    result.failure_domain = settings.failure_domain;
    result.seeds = settings.seeds;
    result.cache_capacity = settings.cache_flows;
    result.random_seed = identity.incarnation_number.value;
    return result;
}

} // namespace

entry_process::entry_process(
    asio::io_context& context, daemon_settings settings)
    : process(context, std::move(settings)),
      core(
          make_core_settings(this->settings, this->identity),
          *this,
          this->metrics)
{
    if (!this->settings.store.empty())
    {
        this->store = std::make_unique<store_watcher>(
            context, this->settings.store,
            this->identity.incarnation_number.value);
    }
}

bool entry_process::open_role(std::string&)
{
    if (this->store)
    {
        this->store->start(
            [this] { return this->core.is_store_watcher(); },
            [this](const std::string& document)
            {
                failure_reason reason;
                this->submit_configuration(document, reason);
            });
    }
    return true;
}

void entry_process::on_message(const received_message& message)
{
    this->core.on_message(monotonic_now(), message.header, message.body);
}

void entry_process::on_tick(time_point now)
{
    this->core.on_tick(now);
}

void entry_process::on_stop_requested(time_point now)
{
    this->core.start_drain(now);
    this->exit_deadline = now + this->settings.stop_delay;
}

bool entry_process::may_exit(time_point now)
{
    return now >= this->exit_deadline;
}

void entry_process::before_exit(time_point)
{
    for (auto& [id, service] : this->services)
    {
        service.socket->close();
    }
}

std::shared_ptr<const configuration>
entry_process::current_configuration() const
{
    return this->core.config().current();
}

json::object entry_process::status(time_point now)
{
    json::array members;
    for (const auto& [id, record] : this->core.members().all())
    {
        json::object item = member_to_json(record);
        const auto direct_observations =
            this->core.direct_observations().find(id);
        if (direct_observations != this->core.direct_observations().end() &&
            direct_observations->second.in_force > 0)
        {
            item["generation"] = direct_observations->second.in_force;
            item["heard_ms_ago"] =
                milliseconds_since(direct_observations->second.last_heard, now);
        }
        if (id == this->identity.self)
        {
            item["generation"] = this->in_force();
            item["heard_ms_ago"] = 0;
        }
        members.push_back(std::move(item));
    }
    json::object traffic_by_domain;
    for (const auto& [domain, seen] : this->core.traffic_by_domain())
    {
        traffic_by_domain[domain] = json::object{
            {"last_packet_ms_ago", milliseconds_since(seen.last_packet, now)},
            {"packets", seen.packets}};
    }
    this->update_gauges();
    return {
        {"role", "entry"},
        {"name", this->settings.name},
        {"id", to_string(this->settings.internal_bind)},
        {"incarnation", this->identity.incarnation_number.value},
        {"state", to_string(this->core.self().state)},
        {"configuration", config_to_json(this->core.config())},
        {"history", this->history()},
        {"store_calls", this->store ? this->store->calls() : 0},
        {"control_bytes_sent", this->transport.control_bytes()},
        {"cached_flows", this->core.cache().size()},
        {"packets_forwarded",
         this->metrics.count(event_kind::packet_forwarded)},
        {"replies_delivered", this->metrics.count(event_kind::reply_delivered)},
        {"domain_packets", traffic_by_domain},
        {"members", members}};
}

json::object entry_process::flows(std::size_t)
{
    return {{"cached_flows", this->core.cache().size()}};
}

bool entry_process::submit_configuration(
    const std::string& document, failure_reason& reason)
{
    return this->core.offer_configuration(monotonic_now(), document, reason);
}

void entry_process::send(instance_id to, const internal_message& message)
{
    this->transport.send(to, message);
}

void entry_process::send_to_caller(const flow_key& flow, byte_view payload)
{
    const auto found = this->services.find(flow.service);
    if (found != this->services.end())
    {
        found->second.socket->send(flow.caller, payload);
    }
}

void entry_process::refuse_caller(
    const flow_key& flow,
    byte_view payload,
    result_code code,
    std::chrono::seconds retry_after)
{
    const auto request = this->coap.decode(payload);
    if (!request || !request->is_request())
    {
        return;
    }
    // Another copy of a request that carries an Echo option may be executing,
    // so this entry cannot report that the request was not executed.
    const bool may_have_run =
        request->is_non_idempotent() &&
        request->find(coap_option_number::echo) != nullptr;
    const result_code reported_code =
        may_have_run ? result_code::unknown_companion_gone : code;
    coap_message answer;
    answer.type = request->type == coap_type::confirmable
                      ? coap_type::acknowledgement
                      : coap_type::non_confirmable;
    answer.code = may_have_run ? coap_code::gateway_timeout
                               : coap_code::service_unavailable;
    answer.message_id = request->message_id;
    answer.token = request->token;
    answer.set_uint(
        coap_option_number::max_age,
        static_cast<std::uint32_t>(retry_after.count()));
    const std::string_view name = to_string(reported_code);
    answer.payload.assign(name.begin(), name.end());
    this->send_to_caller(flow, this->coap.encode(answer));
}

void entry_process::on_configuration(const configuration& value)
{
    for (auto item = this->services.begin(); item != this->services.end();)
    {
        const auto* service = value.find_service(item->first);
        const bool kept =
            service != nullptr && service->address == item->second.address;
        if (!kept)
        {
            item->second.socket->close();
        }
        item = kept ? std::next(item) : this->services.erase(item);
    }
    for (const auto& service : value.services)
    {
        if (!this->services.contains(make_service_id(service.name)))
        {
            this->open_service(service);
        }
    }
}

void entry_process::open_service(const service_definition& service)
{
    const service_id id = make_service_id(service.name);
    endpoint local = service.address;
    if (this->settings.service_bind)
    {
        local.address = this->settings.service_bind->address;
    }
    auto socket = std::make_unique<datagram_socket>(this->context);
    std::string reason;
    if (!socket->open(local, reason))
    {
        log_line(log_level::error, "service_address_unusable")
            .field("service", std::string_view(service.name))
            .field("detail", std::string_view(reason));
        return;
    }
    socket->start(
        [this, id](const endpoint& caller, byte_view datagram)
        {
            this->core.on_caller_packet(
                monotonic_now(), {caller, id}, datagram,
                this->metrics.sample_trace(
                    this->settings.trace_sampling_interval));
        });
    log_line(log_level::info, "service_opened")
        .field("process", std::string_view(this->settings.name))
        .field("service", std::string_view(service.name))
        .field("address", std::string_view(to_string(local)));
    this->services[id] = {service.address, std::move(socket)};
}

void entry_process::update_gauges()
{
    this->metrics.set_gauge("generation", double(this->in_force()));
    this->metrics.set_gauge("cached_flows", double(this->core.cache().size()));
    this->metrics.set_gauge(
        "members", double(this->core.members().all().size()));
}

} // namespace masticslip
