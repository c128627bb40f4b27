#include "platform_texts.hpp"

#include <boost/json.hpp>

namespace masticslip::standin
{

namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr machine_ports ports;
/// An upstream gives up a status call after this time without an answer.
constexpr std::chrono::milliseconds status_limit{1'000};
/// The fabric counts a readiness probe as failed after this time.
constexpr std::chrono::milliseconds ready_limit{400};

json::object route(
    const char* name,
    const char* address,
    const char* kind,
    std::chrono::milliseconds time_limit,
    int target_latency_ms)
{
    return {
        {"name", name},
        {"hostname", address},
        {"prefix", "/443/"},
        {"type", kind},
        {"timeout_ms", time_limit.count()},
        {"target_latency_ms", target_latency_ms},
        {"priority", 1},
        {"service", name}};
}

} // namespace

const char* const settings_variable = "MASTICSLIP_NODE_FILE";

std::string settings_text(const machine_settings& machine)
{
    const auto at = [&machine](std::uint16_t port)
    {
        return to_string(endpoint{machine.address, port}) + "\n";
    };
    std::string text = "node_name=" + machine.name + "\n";
    text += "zone=" + machine.failure_domain + "\n";
    text += "bind_addrs.datagram_addr=" + at(ports.packets);
    text += "bind_addrs.readiness_addr=" + at(ports.ready);
    text += "port_range=7720,7735\nlimits.memory_mb=64\n";
    text += "platform.address=" + to_string(machine.store) + "\n";
    text += "platform.ttl_min_ms=1000\n";
    if (machine.service)
    {
        text += "app=" + at(ports.upstream);
        text += "service=" + *machine.service + "\n";
        text +=
            "heartbeat_ms=" + std::to_string(machine.status_interval.count()) +
            "\n";
        text += "bind_addrs.outbound=" + at(ports.outbound);
        text += "bind_addrs.control_plane=" + at(ports.status);
    }
    return text;
}

http_call status_call(std::uint32_t address, const upstream_status& status)
{
    http_call call;
    call.server = {address, ports.status};
    call.method = http::verb::put;
    call.target = "/api/instances/" + status.incarnation.id;
    call.timeout = status_limit;
    call.body = json::serialize(json::object{
        {"service", status.service},
        {"address", to_string(endpoint{address, ports.upstream})},
        {"zone", status.failure_domain},
        {"version", "v1"},
        {"concurrency", status.concurrency},
        {"state", status.is_draining ? "draining" : "ready"},
        {"warmup_left_ms", status.cold_for.count()},
        {"sequence", status.sequence},
        {"born", status.incarnation.started.count()}});
    return call;
}

http_call
departure_call(std::uint32_t address, const upstream_incarnation& incarnation)
{
    http_call call;
    call.server = {address, ports.status};
    call.method = http::verb::delete_;
    call.target = "/api/instances/" + incarnation.id;
    call.timeout = status_limit;
    call.body =
        json::serialize(json::object{{"born", incarnation.started.count()}});
    return call;
}

http_call ready_call(std::uint32_t address)
{
    http_call call;
    call.server = {address, ports.ready};
    call.target = "/api/ready";
    call.timeout = ready_limit;
    return call;
}

std::string configuration_key()
{
    return "op/config";
}

std::string withdrawal_key(const std::string& failure_domain)
{
    return "op/evacuate/" + failure_domain;
}

std::string
configuration_text(std::uint64_t version, std::chrono::milliseconds time_limit)
{
    constexpr std::chrono::seconds upload_limit{3};
    constexpr int target_ms = 150;
    constexpr int upload_target_ms = 500;
    constexpr int idle_limit_ms = 12'000;
    return json::serialize(json::object{
        {"version", version},
        {"routes",
         json::array{
             route("meetups", "198.18.0.1", "safe", time_limit, target_ms),
             route(
                 "papers", "198.18.0.2", "upload", upload_limit,
                 upload_target_ms)}},
        {"services",
         json::array{
             json::object{{"name", "meetups"}},
             json::object{{"name", "papers"}}}},
        {"limits", json::object{{"idle_timeout_ms", idle_limit_ms}}}});
}

} // namespace masticslip::standin
