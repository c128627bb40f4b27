#include "entry_node.hpp"

#include "member_list.hpp"
#include "telemetry/log.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// Duration of one watch call on operators' keys. Changes are noticed sooner:
/// entries check with the store when none of them has heard from it.
constexpr std::chrono::milliseconds policy_watch_timeout{20'000};
/// Operators' changes made within this time are read in one call.
constexpr std::chrono::milliseconds policy_batching_delay{200};
/// Watch timeout and batching delay of the list of companions. They may be
/// longer: companions also send reports to entries, and a new companion is cold
/// at first.
constexpr std::chrono::milliseconds member_watch_timeout{10'000};
constexpr std::chrono::milliseconds member_batching_delay{1'000};
/// A stopping entry forwards packets for this long, until the network fabric
/// has stopped routing to it.
constexpr std::chrono::milliseconds stop_delay{2'000};
/// Memory budget per cached flow, including unused slots of the table.
constexpr std::size_t bytes_per_flow = 128;
/// The flow cache may use the memory limit divided by this.
constexpr std::size_t flow_memory_divisor = 4;
constexpr std::size_t default_memory_mb = 64;
constexpr std::size_t bytes_per_megabyte = std::size_t{1024} * 1024;

entry_flow_settings core_settings(const node_settings& settings)
{
    const std::size_t memory =
        settings.memory_mb == 0 ? default_memory_mb : settings.memory_mb;
    entry_flow_settings result;
    result.failure_domain = settings.failure_domain;
    result.max_flows =
        memory * bytes_per_megabyte / flow_memory_divisor / bytes_per_flow;
    result.flow_age_limit = settings.flow_age_limit;
    result.placement = settings.placement;
    result.policy_time_limit = settings.policy_time_limit;
    return result;
}

} // namespace

entry_node::entry_node(
    boost::asio::io_context& context,
    node_settings values,
    const packet_codec& codec,
    key_value_store& store,
    const policy_source& policies)
    : flow_node(context, std::move(values), codec, store),
      core(core_settings(this->settings), *this, this->telemetry),
      policies(policies), member_mirror(
                              context,
                              store,
                              member_prefix(),
                              {member_watch_timeout, member_batching_delay},
                              [this](const auto& items, const store_position&)
                              { this->on_members(items); }),
      policy_mirror(
          context,
          store,
          policies.prefix(),
          {policy_watch_timeout, policy_batching_delay},
          [this](const auto& items, const store_position& position)
          { this->on_policy_values(items, position); }),
      exit_timer(context)
{
    this->policy_mirror.set_confirmation_handler(
        [this](time_point time)
        { this->core.on_policy_confirmed(node_now(), time); });
}

bool entry_node::open_role(std::string&)
{
    this->policy_mirror.start();
    this->member_mirror.start();
    return true;
}

bool entry_node::is_ready() const
{
    return !this->stopping && this->core.is_ready(node_now());
}

void entry_node::stop()
{
    if (this->stopping)
    {
        return;
    }
    this->stopping = true;
    this->exit_timer.expires_after(stop_delay);
    this->exit_timer.async_wait([this](const boost::system::error_code&)
                                { this->context.stop(); });
}

void entry_node::on_packet(const endpoint&, byte_view datagram)
{
    failure_reason reason;
    const auto packet =
        this->codec.decode(datagram, packet_origin::caller, reason);
    if (!packet)
    {
        this->report_malformed("callers", reason);
        return;
    }
    this->core.on_caller_packet(node_now(), *packet);
    if (packet->is_opening())
    {
        this->schedule_tick();
    }
}

void entry_node::on_control(
    time_point now, instance_id sender, const flow_message& message)
{
    const auto* returned = std::get_if<packet_returned>(&message);
    if (returned == nullptr)
    {
        this->core.on_message(now, sender, message);
        return;
    }
    failure_reason reason;
    const auto decoded =
        this->codec.decode(returned->packet, packet_origin::caller, reason);
    if (!decoded)
    {
        this->report_malformed("returned", reason);
        return;
    }
    // Decoded again, because the core forwards the packet as the caller sent
    // it.
    const bytes original = this->codec.without_transit_fields(returned->packet);
    const auto packet =
        this->codec.decode(original, packet_origin::caller, reason);
    this->core.on_returned_packet(now, sender, *packet);
}

void entry_node::on_tick(time_point now)
{
    this->core.on_tick(now);
    if (this->core.is_policy_check_due(now) && this->policy_mirror.check())
    {
        this->telemetry.count("policy_checks_total");
    }
}

std::optional<time_point> entry_node::next_deadline() const
{
    return this->core.next_deadline();
}

std::chrono::milliseconds entry_node::tick_interval() const
{
    return entry_flow_core::tick_interval;
}

std::shared_ptr<const policy> entry_node::shared_policy() const
{
    return this->core.shared_policy();
}

void entry_node::apply_policy(
    time_point now, std::shared_ptr<const policy> value, instance_id source)
{
    this->core.on_policy(now, value, source);
}

policy_status entry_node::status_of_policy(time_point now) const
{
    return this->core.status_of_policy(now);
}

void entry_node::update_gauges(time_point)
{
    this->telemetry.set_gauge(
        "flows", static_cast<double>(this->core.flow_count()));
    this->telemetry.set_gauge(
        "companions",
        static_cast<double>(this->core.companions().all().size()));
    this->telemetry.set_gauge(
        "policy_checks_failed",
        static_cast<double>(this->policy_mirror.failed_checks()));
}

void entry_node::send_packet(const endpoint& companion, byte_view packet)
{
    // Sent from the control address, which identifies the sender.
    this->control_socket.send(companion, packet);
}

void entry_node::reset_caller(
    const flow_endpoints& flow, std::uint32_t sequence)
{
    this->send_reset(flow, sequence);
}

void entry_node::send(instance_id to, const flow_message& message)
{
    this->send_control(to, message);
}

void entry_node::fetch_policy(instance_id from)
{
    this->request_policy(from);
}

void entry_node::on_members(const std::map<std::string, std::string>& values)
{
    const time_point now = node_now();
    const member_list list =
        read_member_list(member_prefix(), values, this->core.companions());
    for (const refused_entry& item : list.refused)
    {
        if (this->refused_members.add(item.key, values.at(item.key)))
        {
            this->telemetry.count("members_refused_total");
            log_line(log_level::warning, "member_refused")
                .field("key", item.key)
                .field("reason", item.reason.text);
        }
    }
    std::set<instance_id> current;
    for (const companion_record& record : list.records)
    {
        current.insert(record.id);
        this->core.on_listed(now, record);
    }
    for (const instance_id id : this->registered_ids)
    {
        if (!current.contains(id))
        {
            this->core.on_unlisted(now, id);
        }
    }
    this->refused_members.forget_missing(values);
    this->registered_ids = std::move(current);
    this->core.on_list_read(now);
}

void entry_node::on_policy_values(
    const std::map<std::string, std::string>& values,
    const store_position& position)
{
    if (!this->policy_mirror.has_seen_all_values())
    {
        // Peers may have a usable value that was written and replaced since.
        this->accepted_policy_values.clear();
    }
    policy_reading reading = this->read_policy(values);
    for (const refused_entry& item : reading.refused)
    {
        const auto found = values.find(item.key);
        if (this->refused_policy_entries.add(
                item.key, found == values.end() ? "" : found->second))
        {
            this->report_refused_policy("key", item.key, item.reason);
        }
    }
    this->refused_policy_entries.forget_missing(values);
    if (!reading.value)
    {
        return;
    }
    this->log_loaded_policy(position, *reading.value);
    for (const std::string& name : reading.limited)
    {
        log_line(log_level::warning, "policy_limited")
            .field("revision", to_string(position))
            .field("member", name);
    }
    this->core.on_policy(
        node_now(),
        std::make_shared<policy>(position, std::move(*reading.value)));
}

policy_reading
entry_node::read_policy(const std::map<std::string, std::string>& values)
{
    auto accepted = this->accepted_policy_values;
    policy_reading reading = this->policies.read(values, accepted);
    const auto& replaced = this->policy_mirror.replaced_values();
    if (!reading.refused.empty() && !replaced.empty())
    {
        // One of them may be the usable value that the refused one has
        // followed.
        accepted = this->accepted_policy_values;
        for (const store_item& item : replaced)
        {
            auto former = values;
            former[item.key] = item.value;
            static_cast<void>(this->policies.read(former, accepted));
        }
        reading = this->policies.read(values, accepted);
    }
    this->accepted_policy_values = std::move(accepted);
    return reading;
}

void entry_node::log_loaded_policy(
    const store_position& position, const configuration& value) const
{
    log_line line(log_level::info, "policy_read");
    line.field("revision", to_string(position))
        .field("version", value.number)
        .field("routes", value.routes.size())
        .field("idle_limit_ms", value.flow_idle_limit.count());
    for (const auto& service : value.services)
    {
        line.field("service", service.name)
            .field(
                "cold_flows_per_second",
                std::to_string(service.cold_flows_per_second));
    }
    for (const auto& domain : value.withdrawn_domains)
    {
        line.field("withdrawn", domain);
    }
}

} // namespace masticslip
