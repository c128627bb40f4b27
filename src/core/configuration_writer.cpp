// Serialization of configurations to JSON.

#include "masticslip/core/configuration.hpp"

#include "configuration_format.hpp"

#include <boost/json.hpp>

namespace masticslip
{

namespace json = boost::json;
using detail::request_kind_names;
using detail::schema_version;

namespace
{

json::array names_to_json(const std::vector<std::string>& names)
{
    json::array result;
    for (const auto& name : names)
    {
        result.emplace_back(name);
    }
    return result;
}

json::object preset_to_json(const preset& item)
{
    json::object weights;
    for (const auto& [domain, weight] : item.weights)
    {
        weights[domain] = weight;
    }
    return {
        {"name", item.name},
        {"choice_width", item.choice_width},
        {"weights", weights},
        {"limits",
         {{"max_in_flight", item.limits.max_in_flight},
          {"max_flows", item.limits.max_flows}}}};
}

json::object service_to_json(const service_definition& item)
{
    const bool coap = item.protocol == service_protocol::coap;
    json::object result{
        {"name", item.name}, {"protocol", coap ? "coap" : "datagram"}};
    if (item.address.port != 0)
    {
        result["address"] = to_string(item.address);
    }
    if (item.cold_flows_per_second > 0)
    {
        result["cold_flows_per_second"] = item.cold_flows_per_second;
    }
    if (item.max_flows != 0)
    {
        result["max_flows"] = item.max_flows;
    }
    return result;
}

json::object route_to_json(const route_definition& item)
{
    return {
        {"name", item.name},
        {"address", to_string(item.address)},
        {"service", item.service},
        {"kind", request_kind_names.at(static_cast<std::size_t>(item.kind))},
        {"time_limit_ms", item.time_limit.count()},
        {"target_latency_ms", item.target_latency.count()},
        {"priority", item.priority}};
}

} // namespace

std::string serialize_configuration(const configuration& value)
{
    json::array services;
    for (const auto& item : value.services)
    {
        services.emplace_back(service_to_json(item));
    }
    json::array presets;
    for (const auto& item : value.presets)
    {
        presets.emplace_back(preset_to_json(item));
    }
    json::object root{
        {"schema", schema_version},
        {"generation", value.number},
        {"change",
         {{"id", value.change.id},
          {"operator", value.change.operator_name},
          {"reason", value.change.reason},
          {"previous_hash", value.change.previous_hash}}},
        {"services", services},
        {"failure_domains", names_to_json(value.failure_domains)},
        {"withdrawn_domains", names_to_json(value.withdrawn_domains)},
        {"presets", presets},
        {"preset_in_force", value.preset_in_force}};
    if (!value.routes.empty())
    {
        json::array routes;
        for (const auto& item : value.routes)
        {
            routes.emplace_back(route_to_json(item));
        }
        root["routes"] = std::move(routes);
    }
    if (value.flow_idle_limit.count() != 0)
    {
        root["flow_idle_limit_ms"] = value.flow_idle_limit.count();
    }
    return json::serialize(root);
}

} // namespace masticslip
