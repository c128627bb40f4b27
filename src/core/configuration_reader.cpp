// Reads the fields of a configuration document.

#include "configuration_reader.hpp"

#include "configuration_format.hpp"
#include "json_reader.hpp"
#include "masticslip/core/configuration_bounds.hpp"

#include <algorithm>

namespace masticslip::detail
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t max_weight = 100;
constexpr std::uint64_t max_choice_width = 5;
constexpr std::uint64_t max_in_flight_limit = 1000;

endpoint read_address(json_reader& reader)
{
    const std::string address = reader.text("address", true);
    const auto parsed = parse_endpoint(address);
    if (!parsed || parsed->port == 0)
    {
        reader.fail(
            "address", finding_kind::invalid_value,
            "'" + address + "' is not an IPv4:port address");
    }
    return parsed.value_or(endpoint{});
}

std::chrono::milliseconds
read_milliseconds(json_reader& reader, std::string_view key)
{
    return std::chrono::milliseconds(
        reader.number(key, 0, max_time_limit.count(), 0));
}

route_definition read_route(
    const json::value& value, const std::string& path, fault_list& faults)
{
    json_reader reader(value, path, faults);
    route_definition result;
    result.name = reader.text("name", true);
    result.address = read_address(reader);
    result.service = reader.text("service", true);
    const std::string kind = reader.text("kind", true);
    const auto found =
        std::find(request_kind_names.begin(), request_kind_names.end(), kind);
    if (found == request_kind_names.end())
    {
        reader.fail(
            "kind", finding_kind::invalid_value,
            "must be \"safe\", \"unsafe\", \"upload\" or "
            "\"download\"");
    }
    else
    {
        result.kind =
            static_cast<request_kind>(found - request_kind_names.begin());
    }
    result.time_limit = read_milliseconds(reader, "time_limit_ms");
    result.target_latency = read_milliseconds(reader, "target_latency_ms");
    result.priority = static_cast<std::uint32_t>(
        reader.number("priority", 0, max_priority, 0));
    reader.reject_unknown_keys();
    return result;
}

service_definition read_service(
    const json::value& value, const std::string& path, fault_list& faults)
{
    json_reader reader(value, path, faults);
    service_definition result;
    result.name = reader.text("name", true);
    const std::string protocol = reader.text("protocol", false);
    if (protocol != "" && protocol != "coap" && protocol != "datagram")
    {
        reader.fail(
            "protocol", finding_kind::invalid_value,
            "must be \"coap\" or \"datagram\"");
    }
    result.protocol = protocol == "datagram" ? service_protocol::datagram
                                             : service_protocol::coap;
    const bool is_routed = result.protocol == service_protocol::datagram &&
                           reader.member("address", false) == nullptr;
    result.address = is_routed ? endpoint{} : read_address(reader);
    result.cold_flows_per_second =
        reader.real("cold_flows_per_second", 0, max_cold_rate, 0);
    result.max_flows = static_cast<std::uint32_t>(
        reader.number("max_flows", 0, max_flows_limit, 0));
    reader.reject_unknown_keys();
    return result;
}

preset_limits read_limits(
    const json::value* value, const std::string& path, fault_list& faults)
{
    preset_limits result;
    if (value == nullptr)
    {
        return result;
    }
    json_reader reader(*value, path, faults);
    result.max_in_flight = static_cast<std::uint32_t>(reader.number(
        "max_in_flight", 1, max_in_flight_limit, result.max_in_flight));
    result.max_flows = static_cast<std::uint32_t>(
        reader.number("max_flows", 1, max_flows_limit, result.max_flows));
    reader.reject_unknown_keys();
    return result;
}

std::map<std::string, std::uint32_t> read_weights(
    const json::value* value, const std::string& path, fault_list& faults)
{
    std::map<std::string, std::uint32_t> result;
    if (value == nullptr)
    {
        return result;
    }
    json_reader reader(*value, path, faults);
    if (value->is_object())
    {
        for (const auto& item : value->get_object())
        {
            const auto weight = reader.number(item.key(), 0, max_weight, {});
            result[std::string(item.key())] =
                static_cast<std::uint32_t>(weight);
        }
    }
    return result;
}

preset read_preset(
    const json::value& value, const std::string& path, fault_list& faults)
{
    json_reader reader(value, path, faults);
    preset result;
    result.name = reader.text("name", true);
    result.choice_width = static_cast<std::uint32_t>(reader.number(
        "choice_width", 1, max_choice_width, result.choice_width));
    result.weights = read_weights(
        reader.member("weights", false), reader.path_of("weights"), faults);
    result.limits = read_limits(
        reader.member("limits", false), reader.path_of("limits"), faults);
    reader.reject_unknown_keys();
    return result;
}

change_record read_change(const json::value* value, fault_list& faults)
{
    change_record result;
    if (value == nullptr)
    {
        return result;
    }
    json_reader reader(*value, "$.change", faults);
    result.id = reader.text("id", false);
    result.operator_name = reader.text("operator", false);
    result.reason = reader.text("reason", false);
    result.previous_hash = reader.text("previous_hash", false);
    reader.reject_unknown_keys();
    return result;
}

std::vector<std::string>
read_names(json_reader& reader, std::string_view key, bool required)
{
    std::vector<std::string> result;
    const json::array* items = reader.array(key, required);
    for (std::size_t i = 0; items != nullptr && i < items->size(); ++i)
    {
        const auto* text = (*items)[i].if_string();
        if (text == nullptr || text->empty())
        {
            const std::string index = "[" + std::to_string(i) + "]";
            reader.fail(
                std::string(key) + index, finding_kind::wrong_type,
                "must be a non-empty string");
            continue;
        }
        result.emplace_back(*text);
    }
    return result;
}

} // namespace

configuration read_document(const json::value& root, fault_list& faults)
{
    json_reader reader(root, "$", faults);
    configuration result;
    reader.number("schema", schema_version, schema_version, {});
    result.number = reader.number("generation", 0, max_generation, 0);
    result.change = read_change(reader.member("change", false), faults);
    const auto* services = reader.array("services", true);
    for (std::size_t i = 0; services != nullptr && i < services->size(); ++i)
    {
        result.services.push_back(
            read_service((*services)[i], item_path("services", i), faults));
    }
    const auto* routes = reader.array("routes", false);
    for (std::size_t i = 0; routes != nullptr && i < routes->size(); ++i)
    {
        result.routes.push_back(
            read_route((*routes)[i], item_path("routes", i), faults));
    }
    result.flow_idle_limit = read_milliseconds(reader, "flow_idle_limit_ms");
    result.failure_domains = read_names(reader, "failure_domains", true);
    result.withdrawn_domains = read_names(reader, "withdrawn_domains", false);
    const auto* presets = reader.array("presets", true);
    for (std::size_t i = 0; presets != nullptr && i < presets->size(); ++i)
    {
        result.presets.push_back(
            read_preset((*presets)[i], item_path("presets", i), faults));
    }
    result.preset_in_force = reader.text("preset_in_force", true);
    reader.reject_unknown_keys();
    return result;
}

} // namespace masticslip::detail
