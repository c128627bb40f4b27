#include "companion_node.hpp"

#include "member_document.hpp"
#include "telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace masticslip
{

namespace asio = boost::asio;

namespace
{

/// The same limit as in flow_node.cpp.
constexpr std::size_t max_datagram_size = 2'048;
/// Delay before exit, so that the last load reports are sent, and interval of
/// the checks whether requests are still in flight.
constexpr std::chrono::milliseconds exit_check_interval{20};
/// Shortest interval between log lines about malformed statuses.
constexpr std::chrono::seconds malformed_status_log_interval{1};
constexpr std::size_t max_logged_id_size = 64;
/// Time limit for removing the companion's key from the store after its
/// upstream has terminated.
constexpr std::chrono::milliseconds deregistration_timeout{1'500};

companion_flow_settings core_settings(
    const node_settings& settings, const companion_node_settings& role)
{
    companion_flow_settings result;
    result.name = settings.name;
    result.service = role.service;
    result.failure_domain = settings.failure_domain;
    result.packet_address = settings.packet_address;
    result.status_interval = role.status_interval;
    result.upstream_address = role.upstream_address;
    result.flow_age_limit = settings.flow_age_limit;
    result.policy_time_limit = settings.policy_time_limit;
    result.process_number = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    return result;
}

} // namespace

companion_node::companion_node(
    asio::io_context& context,
    node_settings values,
    companion_node_settings role_values,
    const packet_codec& codec,
    key_value_store& store)
    : flow_node(context, std::move(values), codec, store),
      role_settings(std::move(role_values)),
      core(
          core_settings(this->settings, this->role_settings),
          *this,
          this->telemetry),
      upstream_socket(context, max_datagram_size),
      probe(
          context,
          this->role_settings.upstream_address,
          [this](upstream_presence result) { this->on_presence(result); }),
      registration(
          context,
          store,
          member_prefix() + this->settings.name,
          this->settings.min_lease),
      exit_timer(context)
{
}

bool companion_node::open_role(std::string& reason)
{
    if (!this->upstream_socket.open(
            this->role_settings.upstream_packets, reason))
    {
        return false;
    }
    this->upstream_socket.start(
        [this](const endpoint& sender, byte_view datagram)
        { this->on_upstream_datagram(sender, datagram); });
    this->registration.start(serialize_member(
        {this->self(), this->settings.name, this->role_settings.service,
         this->settings.failure_domain, this->settings.packet_address}));
    // The first tick requests a presence check.
    this->core.on_tick(node_now());
    return true;
}

bool companion_node::is_ready() const
{
    return !this->stopping && this->core.current_policy().is_known();
}

void companion_node::stop()
{
    if (this->stopping)
    {
        return;
    }
    this->stopping = true;
    this->core.on_stop(node_now());
    this->exit_when_idle();
}

void companion_node::exit_when_idle()
{
    this->exit_timer.expires_after(exit_check_interval);
    this->exit_timer.async_wait(
        [this](const boost::system::error_code&)
        {
            if (this->core.may_exit(node_now()))
            {
                this->exit();
                return;
            }
            this->exit_when_idle();
        });
}

void companion_node::exit()
{
    if (!this->core.upstream_is_down())
    {
        this->context.stop();
        return;
    }
    asio::co_spawn(this->context, this->deregister_and_exit(), asio::detached);
    this->exit_timer.expires_after(deregistration_timeout);
    this->exit_timer.async_wait([this](const boost::system::error_code&)
                                { this->context.stop(); });
}

asio::awaitable<void> companion_node::deregister_and_exit()
{
    co_await this->registration.deregister();
    this->context.stop();
}

status_outcome companion_node::on_status(const upstream_status& status)
{
    const status_outcome outcome = this->core.on_status(node_now(), status);
    this->schedule_tick();
    return outcome;
}

void companion_node::on_malformed_status(
    std::string_view id, const failure_reason& reason)
{
    this->telemetry.count("statuses_malformed_total");
    const time_point now = node_now();
    if (now - this->last_malformed_status_log >= malformed_status_log_interval)
    {
        this->last_malformed_status_log = now;
        log_line(log_level::warning, "status_malformed")
            .field("upstream", id.substr(0, max_logged_id_size))
            .field("reason", reason.text);
    }
}

bool companion_node::on_departure(const upstream_incarnation& incarnation)
{
    const bool accepted = this->core.on_departure(node_now(), incarnation);
    this->schedule_tick();
    return accepted;
}

void companion_node::on_packet(const endpoint& sender, byte_view datagram)
{
    failure_reason reason;
    const auto packet =
        this->codec.decode(datagram, packet_origin::caller, reason);
    if (!packet)
    {
        this->report_malformed("entries", reason);
        return;
    }
    this->core.on_caller_packet(node_now(), {sender.packed()}, *packet);
}

void companion_node::on_upstream_datagram(const endpoint&, byte_view datagram)
{
    failure_reason reason;
    const auto packet =
        this->codec.decode(datagram, packet_origin::upstream, reason);
    if (!packet)
    {
        this->report_malformed("upstream", reason);
        return;
    }
    this->core.on_upstream_packet(node_now(), *packet);
}

void companion_node::check_presence()
{
    this->telemetry.count("presence_checks_total");
    this->probe.start();
}

void companion_node::on_presence(upstream_presence result)
{
    if (result == upstream_presence::absent)
    {
        this->telemetry.count("presence_checks_absent_total");
    }
    this->core.on_presence(node_now(), result);
    this->schedule_tick();
}

void companion_node::on_control(
    time_point now, instance_id sender, const flow_message& message)
{
    this->core.on_registration(this->registration.is_continuous());
    this->core.on_message(now, sender, message);
    this->registration.on_era(this->core.current_policy().position().era);
}

void companion_node::on_tick(time_point now)
{
    this->core.on_registration(this->registration.is_continuous());
    this->core.on_tick(now);
}

std::optional<time_point> companion_node::next_deadline() const
{
    return std::nullopt;
}

std::chrono::milliseconds companion_node::tick_interval() const
{
    return companion_flow_core::tick_interval;
}

std::shared_ptr<const policy> companion_node::shared_policy() const
{
    return this->core.shared_policy();
}

void companion_node::apply_policy(
    time_point now, std::shared_ptr<const policy> value, instance_id source)
{
    this->core.on_policy(now, value, source);
}

policy_status companion_node::status_of_policy(time_point now) const
{
    return this->core.status_of_policy(now);
}

void companion_node::update_gauges(time_point now)
{
    const upstream_load load = this->core.load(now);
    this->telemetry.set_gauge(
        "flows", static_cast<double>(this->core.flow_count()));
    this->telemetry.set_gauge("open_flows", load.open_flows);
    this->telemetry.set_gauge("in_flight", load.in_flight);
    this->telemetry.set_gauge(
        "upstream_refusal", static_cast<double>(load.refusal));
    this->telemetry.set_gauge("upstream_on_probation", load.on_probation);
}

void companion_node::send_to_upstream(byte_view packet)
{
    this->upstream_socket.send(this->role_settings.upstream_address, packet);
}

void companion_node::send_to_caller(const endpoint& caller, byte_view packet)
{
    this->packet_socket.send(
        {caller.address, this->settings.caller_port}, packet);
}

void companion_node::reset_caller(
    const flow_endpoints& flow, std::uint32_t sequence)
{
    this->send_reset(flow, sequence);
}

void companion_node::send(instance_id to, const flow_message& message)
{
    this->send_control(to, message);
}

void companion_node::fetch_policy(instance_id from)
{
    this->request_policy(from);
}

void companion_node::on_not_listed()
{
    this->registration.on_key_missing();
}

} // namespace masticslip
