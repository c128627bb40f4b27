#include "masticslip/core/configuration.hpp"

#include "configuration_reader.hpp"
#include "json_places.hpp"

#include <algorithm>
#include <map>

namespace masticslip
{

namespace
{

namespace json = boost::json;
using detail::fault_list;
using detail::item_path;

bool contains(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Compares a service with those before it.
void check_service_is_unique(
    const configuration& value, std::size_t index, fault_list& faults)
{
    const auto& item = value.services[index];
    const std::string path = item_path("services", index);
    for (std::size_t i = 0; i < index; ++i)
    {
        const auto& other = value.services[i];
        if (make_service_id(other.name) == make_service_id(item.name))
        {
            faults.add(
                finding_kind::duplicate, path + ".name",
                "'" + item.name + "' has the same id as service '" +
                    other.name + "'");
        }
        if (other.address == item.address && item.address.port != 0)
        {
            faults.add(
                finding_kind::duplicate, path + ".address",
                "already used by service '" + other.name + "'");
        }
    }
}

void check_services(const configuration& value, fault_list& faults)
{
    for (std::size_t i = 0; i < value.services.size(); ++i)
    {
        if (value.services[i].name.empty())
        {
            faults.add(
                finding_kind::invalid_value, item_path("services", i) + ".name",
                "must not be empty");
        }
        check_service_is_unique(value, i, faults);
    }
}

void check_routes(const configuration& value, fault_list& faults)
{
    std::map<endpoint, std::string> names;
    for (std::size_t i = 0; i < value.routes.size(); ++i)
    {
        const auto& item = value.routes[i];
        const std::string path = item_path("routes", i);
        const auto [known, is_new] = names.emplace(item.address, item.name);
        if (!is_new)
        {
            faults.add(
                finding_kind::duplicate, path + ".address",
                "already used by another route ('" + known->second +
                    "'); this one would never match");
        }
        const auto* service = value.find_service(make_service_id(item.service));
        if (service == nullptr ||
            service->protocol != service_protocol::datagram)
        {
            faults.add(
                finding_kind::unknown_name, path + ".service",
                "'" + item.service + "' is not a datagram service");
        }
    }
}

void check_domains(const configuration& value, fault_list& faults)
{
    for (std::size_t i = 0; i < value.failure_domains.size(); ++i)
    {
        const auto& name = value.failure_domains[i];
        const auto begin = value.failure_domains.begin();
        const auto end = begin + static_cast<std::ptrdiff_t>(i);
        if (std::find(begin, end, name) != end)
        {
            faults.add(
                finding_kind::duplicate, item_path("failure_domains", i),
                "'" + name + "' is named twice");
        }
    }
    for (std::size_t i = 0; i < value.withdrawn_domains.size(); ++i)
    {
        const auto& name = value.withdrawn_domains[i];
        if (!contains(value.failure_domains, name))
        {
            faults.add(
                finding_kind::unknown_name, item_path("withdrawn_domains", i),
                "'" + name + "' is not a failure domain");
        }
    }
}

void check_presets(const configuration& value, fault_list& faults)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < value.presets.size(); ++i)
    {
        const auto& item = value.presets[i];
        const std::string path = item_path("presets", i);
        if (item.name.empty() || contains(names, item.name))
        {
            faults.add(
                item.name.empty() ? finding_kind::invalid_value
                                  : finding_kind::duplicate,
                path + ".name", "must be non-empty and unique");
        }
        names.push_back(item.name);
        const std::string weight_path = path + ".weights.";
        for (const auto& [domain, weight] : item.weights)
        {
            if (!contains(value.failure_domains, domain))
            {
                faults.add(
                    finding_kind::unknown_name, weight_path + domain,
                    "not a failure domain");
            }
        }
    }
    if (!contains(names, value.preset_in_force))
    {
        faults.add(
            finding_kind::unknown_name, "$.preset_in_force",
            "'" + value.preset_in_force + "' is not a preset");
    }
}

void check_rules(const configuration& value, fault_list& faults)
{
    check_services(value, faults);
    check_routes(value, faults);
    check_domains(value, faults);
    check_presets(value, faults);
}

/// Parses the text; nullopt and an error with its place if it is not JSON.
std::optional<json::value> read_json(std::string_view text, fault_list& faults)
{
    json::stream_parser parser;
    json::error_code error;
    std::size_t used = parser.write(text.data(), text.size(), error);
    if (!error)
    {
        parser.finish(error);
        used = text.size();
    }
    if (error)
    {
        faults.add(
            finding_kind::not_json, "$", "not JSON: " + error.message(),
            detail::place_of(text, std::min(used, text.size())));
        return std::nullopt;
    }
    return parser.release();
}

/// A repeated key is an error: of its values only the last would count.
void check_keys_are_unique(std::string_view text, fault_list& faults)
{
    detail::scan_json(
        text,
        [&](const detail::json_place& item)
        {
            if (item.is_repeated)
            {
                faults.add(
                    finding_kind::duplicate, std::string(item.path),
                    "the object has this key already",
                    detail::place_of(text, item.offset));
            }
        });
}

/// Returns the first error as the reason of a failure.
failure_reason to_reason(const std::vector<configuration_finding>& errors)
{
    return {
        result_code::config_invalid,
        errors.front().path + ": " + errors.front().text};
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

configuration_reading
read_configuration(std::string_view text, std::size_t max_size)
{
    fault_list faults;
    if (text.size() > max_size)
    {
        faults.add(
            finding_kind::too_large, "$",
            "larger than " + std::to_string(max_size) + " bytes", text_place{});
        return {std::nullopt, faults.take()};
    }
    const auto root = read_json(text, faults);
    if (!root)
    {
        return {std::nullopt, faults.take()};
    }
    check_keys_are_unique(text, faults);
    configuration value = detail::read_document(*root, faults);
    if (faults.empty())
    {
        check_rules(value, faults);
    }
    if (!faults.empty())
    {
        return {std::nullopt, faults.take()};
    }
    return {std::move(value), {}};
}

std::optional<configuration> parse_configuration(
    std::string_view text, failure_reason& reason, std::size_t max_size)
{
    auto reading = read_configuration(text, max_size);
    reason = reading.value ? failure_reason{} : to_reason(reading.errors);
    return std::move(reading.value);
}

std::optional<configuration>
check_configuration(configuration value, failure_reason& reason)
{
    fault_list faults;
    check_rules(value, faults);
    if (!faults.empty())
    {
        reason = to_reason(faults.take());
        return std::nullopt;
    }
    return value;
}

} // namespace masticslip
