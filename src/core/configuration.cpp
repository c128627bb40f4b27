#include "masticslip/core/configuration.hpp"

#include "configuration_format.hpp"
#include "json_reader.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <set>

namespace masticslip
{

namespace
{

namespace json = boost::json;
using detail::json_reader;
using detail::request_kind_names;
using detail::schema_version;

constexpr std::uint64_t max_weight = 100;
constexpr std::uint64_t max_choice_width = 5;
constexpr std::uint64_t max_in_flight_limit = 1000;
constexpr std::uint64_t max_flows_limit = 1'000'000;
constexpr std::uint64_t max_cold_rate = 1'000'000;
constexpr std::uint64_t max_time_limit_ms = 86'400'000;
constexpr std::uint64_t max_priority = 1'000;

std::string item_path(std::string_view list, std::size_t index)
{
    return "$." + std::string(list) + "[" + std::to_string(index) + "]";
}

endpoint read_address(json_reader& reader)
{
    const std::string address = reader.text("address", true);
    const auto parsed = parse_endpoint(address);
    if (!parsed || parsed->port == 0)
    {
        reader.fail("address", "'" + address + "' is not an IPv4:port address");
    }
    return parsed.value_or(endpoint{});
}

std::chrono::milliseconds
read_milliseconds(json_reader& reader, std::string_view key)
{
    return std::chrono::milliseconds(
        reader.number(key, 0, max_time_limit_ms, 0));
}

route_definition read_route(
    const json::value& value, const std::string& path, failure_reason& reason)
{
    json_reader reader(value, path, reason);
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
            "kind", "must be \"safe\", \"unsafe\", \"upload\" or "
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
    const json::value& value, const std::string& path, failure_reason& reason)
{
    json_reader reader(value, path, reason);
    service_definition result;
    result.name = reader.text("name", true);
    const std::string protocol = reader.text("protocol", false);
    if (protocol != "" && protocol != "coap" && protocol != "datagram")
    {
        reader.fail("protocol", "must be \"coap\" or \"datagram\"");
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
    const json::value* value, const std::string& path, failure_reason& reason)
{
    preset_limits result;
    if (value == nullptr)
    {
        return result;
    }
    json_reader reader(*value, path, reason);
    result.max_in_flight = static_cast<std::uint32_t>(reader.number(
        "max_in_flight", 1, max_in_flight_limit, result.max_in_flight));
    result.max_flows = static_cast<std::uint32_t>(
        reader.number("max_flows", 1, max_flows_limit, result.max_flows));
    reader.reject_unknown_keys();
    return result;
}

std::map<std::string, std::uint32_t> read_weights(
    const json::value* value, const std::string& path, failure_reason& reason)
{
    std::map<std::string, std::uint32_t> result;
    if (value == nullptr)
    {
        return result;
    }
    json_reader reader(*value, path, reason);
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
    const json::value& value, const std::string& path, failure_reason& reason)
{
    json_reader reader(value, path, reason);
    preset result;
    result.name = reader.text("name", true);
    result.choice_width = static_cast<std::uint32_t>(reader.number(
        "choice_width", 1, max_choice_width, result.choice_width));
    result.weights = read_weights(
        reader.member("weights", false), reader.path_of("weights"), reason);
    result.limits = read_limits(
        reader.member("limits", false), reader.path_of("limits"), reason);
    reader.reject_unknown_keys();
    return result;
}

change_record read_change(const json::value* value, failure_reason& reason)
{
    change_record result;
    if (value == nullptr)
    {
        return result;
    }
    json_reader reader(*value, "$.change", reason);
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
            reader.fail(std::string(key) + index, "must be a non-empty string");
            return result;
        }
        result.emplace_back(*text);
    }
    return result;
}

/// Records a configuration error and returns nullopt.
std::nullopt_t reject(
    failure_reason& reason, const std::string& path, const std::string& problem)
{
    reason.code = result_code::config_invalid;
    reason.text = path + ": " + problem;
    return std::nullopt;
}

bool contains(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool check_services(const configuration& value, failure_reason& reason)
{
    for (std::size_t i = 0; i < value.services.size(); ++i)
    {
        const auto& item = value.services[i];
        const std::string path = item_path("services", i);
        if (item.name.empty())
        {
            reject(reason, path + ".name", "must not be empty");
            return false;
        }
        for (std::size_t j = 0; j < i; ++j)
        {
            const auto& other = value.services[j];
            if (make_service_id(other.name) == make_service_id(item.name))
            {
                reject(
                    reason, path + ".name",
                    "'" + item.name + "' has the same id as service '" +
                        other.name + "'");
                return false;
            }
            if (other.address == item.address && item.address.port != 0)
            {
                reject(
                    reason, path + ".address",
                    "already used by service '" + other.name + "'");
                return false;
            }
        }
    }
    return true;
}

bool check_routes(const configuration& value, failure_reason& reason)
{
    std::set<endpoint> addresses;
    for (std::size_t i = 0; i < value.routes.size(); ++i)
    {
        const auto& item = value.routes[i];
        const std::string path = item_path("routes", i);
        if (!addresses.insert(item.address).second)
        {
            reject(reason, path + ".address", "already used by another route");
            return false;
        }
        const auto* service = value.find_service(make_service_id(item.service));
        if (service == nullptr ||
            service->protocol != service_protocol::datagram)
        {
            reject(
                reason, path + ".service",
                "'" + item.service + "' is not a datagram service");
            return false;
        }
    }
    return true;
}

bool check_domains(const configuration& value, failure_reason& reason)
{
    for (std::size_t i = 0; i < value.failure_domains.size(); ++i)
    {
        const auto& name = value.failure_domains[i];
        const auto begin = value.failure_domains.begin();
        const auto end = begin + static_cast<std::ptrdiff_t>(i);
        if (std::find(begin, end, name) != end)
        {
            reject(
                reason, item_path("failure_domains", i),
                "'" + name + "' is named twice");
            return false;
        }
    }
    for (std::size_t i = 0; i < value.withdrawn_domains.size(); ++i)
    {
        const auto& name = value.withdrawn_domains[i];
        if (!contains(value.failure_domains, name))
        {
            reject(
                reason, item_path("withdrawn_domains", i),
                "'" + name + "' is not a failure domain");
            return false;
        }
    }
    return true;
}

bool check_presets(const configuration& value, failure_reason& reason)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < value.presets.size(); ++i)
    {
        const auto& item = value.presets[i];
        const std::string path = item_path("presets", i);
        if (item.name.empty() || contains(names, item.name))
        {
            reject(reason, path + ".name", "must be non-empty and unique");
            return false;
        }
        names.push_back(item.name);
        const std::string weight_path = path + ".weights.";
        for (const auto& [domain, weight] : item.weights)
        {
            if (!contains(value.failure_domains, domain))
            {
                reject(reason, weight_path + domain, "not a failure domain");
                return false;
            }
        }
    }
    if (!contains(names, value.preset_in_force))
    {
        reject(
            reason, "$.preset_in_force",
            "'" + value.preset_in_force + "' is not a preset");
        return false;
    }
    return true;
}

configuration read_document(const json::value& root, failure_reason& reason)
{
    json_reader reader(root, "$", reason);
    configuration result;
    reader.number("schema", schema_version, schema_version, {});
    result.number = reader.number(
        "generation", 0, std::numeric_limits<std::int64_t>::max(), 0);
    result.change = read_change(reader.member("change", false), reason);
    const auto* services = reader.array("services", true);
    for (std::size_t i = 0; services != nullptr && i < services->size(); ++i)
    {
        result.services.push_back(
            read_service((*services)[i], item_path("services", i), reason));
    }
    const auto* routes = reader.array("routes", false);
    for (std::size_t i = 0; routes != nullptr && i < routes->size(); ++i)
    {
        result.routes.push_back(
            read_route((*routes)[i], item_path("routes", i), reason));
    }
    result.flow_idle_limit = read_milliseconds(reader, "flow_idle_limit_ms");
    result.failure_domains = read_names(reader, "failure_domains", true);
    result.withdrawn_domains = read_names(reader, "withdrawn_domains", false);
    const auto* presets = reader.array("presets", true);
    for (std::size_t i = 0; presets != nullptr && i < presets->size(); ++i)
    {
        result.presets.push_back(
            read_preset((*presets)[i], item_path("presets", i), reason));
    }
    result.preset_in_force = reader.text("preset_in_force", true);
    reader.reject_unknown_keys();
    return result;
}

} // namespace

const preset& configuration::active_preset() const
{
    return *std::find_if(
        this->presets.begin(), this->presets.end(),
        [this](const preset& item)
        { return item.name == this->preset_in_force; });
}

bool configuration::is_withdrawn(std::string_view domain) const
{
    return contains(this->withdrawn_domains, domain);
}

const service_definition* configuration::find_service(service_id id) const
{
    const auto found = std::find_if(
        this->services.begin(), this->services.end(),
        [id](const service_definition& item)
        { return make_service_id(item.name) == id; });
    return found == this->services.end() ? nullptr : &*found;
}

std::optional<configuration> parse_configuration(
    std::string_view text, failure_reason& reason, std::size_t max_size)
{
    reason = {};
    if (text.size() > max_size)
    {
        return reject(
            reason, "$", "larger than " + std::to_string(max_size) + " bytes");
    }
    json::error_code error;
    const json::value root = json::parse(text, error);
    if (error)
    {
        return reject(reason, "$", "not JSON: " + error.message());
    }
    configuration value = read_document(root, reason);
    if (reason.code != result_code::done)
    {
        return std::nullopt;
    }
    return check_configuration(std::move(value), reason);
}

std::optional<configuration>
check_configuration(configuration value, failure_reason& reason)
{
    if (!check_services(value, reason) || !check_routes(value, reason) ||
        !check_domains(value, reason) || !check_presets(value, reason))
    {
        return std::nullopt;
    }
    return value;
}

} // namespace masticslip
