#include "masticslip/core/configuration_check.hpp"

#include "configuration_reader.hpp"
#include "json_places.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace masticslip
{

namespace
{

using detail::item_path;

constexpr std::array<std::string_view, 3> severity_names{
    "error", "warning", "change"};
constexpr std::array<std::string_view, finding_kind_count> kind_names{
    "too_large",    "not_json",     "wrong_type",     "missing_key",
    "unknown_key",  "out_of_range", "invalid_value",  "duplicate",
    "unknown_name", "never_used",   "without_effect", "limits_contradict",
    "no_limit",     "no_new_flows", "first_version",  "added",
    "removed",      "changed"};

/// Collects warnings.
class warning_list
{
public:
    void add(finding_kind kind, std::string path, std::string text)
    {
        this->items.push_back(
            {finding_severity::warning, kind, std::move(path), std::move(text),
             "", std::nullopt});
    }

    std::vector<configuration_finding> items;
};

std::string in_ms(std::chrono::milliseconds value)
{
    return std::to_string(value.count()) + " ms";
}

void check_unused_services(const configuration& value, warning_list& warnings)
{
    std::set<service_id> routed;
    for (const auto& route : value.routes)
    {
        routed.insert(make_service_id(route.service));
    }
    for (std::size_t i = 0; i < value.services.size(); ++i)
    {
        const auto& item = value.services[i];
        // A service with an address is reached without a route.
        if (item.address.port == 0 &&
            !routed.contains(make_service_id(item.name)))
        {
            warnings.add(
                finding_kind::never_used, item_path("services", i),
                "no route names the service '" + item.name +
                    "', and it has no address: no flow reaches it");
        }
    }
}

void check_service_limits(const configuration& value, warning_list& warnings)
{
    for (std::size_t i = 0; i < value.services.size(); ++i)
    {
        const auto& item = value.services[i];
        const std::string path = item_path("services", i);
        const double rate = item.cold_flows_per_second;
        if (rate > 0 && item.protocol == service_protocol::coap)
        {
            warnings.add(
                finding_kind::without_effect, path + ".cold_flows_per_second",
                "only upstreams of datagram services are subject to it");
        }
        else if (rate > 0 && rate < 1)
        {
            warnings.add(
                finding_kind::limits_contradict,
                path + ".cold_flows_per_second",
                "a rate below 1 cannot be kept: a cold upstream gets one new "
                "flow in each second");
        }
        if (item.max_flows != 0)
        {
            warnings.add(
                finding_kind::without_effect, path + ".max_flows",
                "no process applies it");
        }
    }
}

void check_route_limits(const configuration& value, warning_list& warnings)
{
    const auto idle_limit = value.flow_idle_limit;
    for (std::size_t i = 0; i < value.routes.size(); ++i)
    {
        const auto& item = value.routes[i];
        const bool is_limited = item.time_limit.count() != 0;
        if (is_limited && item.target_latency > item.time_limit)
        {
            warnings.add(
                finding_kind::limits_contradict,
                item_path("routes", i) + ".time_limit_ms",
                "the time limit (" + in_ms(item.time_limit) +
                    ") is below the target latency (" +
                    in_ms(item.target_latency) +
                    "): requests are obsolete before they are late");
        }
        if (idle_limit.count() != 0 && idle_limit < item.time_limit)
        {
            warnings.add(
                finding_kind::limits_contradict, "$.flow_idle_limit_ms",
                "the idle limit (" + in_ms(idle_limit) +
                    ") is below the time limit of route '" + item.name + "' (" +
                    in_ms(item.time_limit) +
                    "): a flow may be discarded while it waits for its answer");
        }
    }
    if (idle_limit.count() != 0 && value.routes.empty())
    {
        warnings.add(
            finding_kind::without_effect, "$.flow_idle_limit_ms",
            "it applies to flows that come over routes, and there are none");
    }
}

bool has_domain_in_service(const configuration& value)
{
    return std::any_of(
        value.failure_domains.begin(), value.failure_domains.end(),
        [&value](const std::string& name)
        { return !value.is_withdrawn(name); });
}

void check_withdrawals(const configuration& value, warning_list& warnings)
{
    const auto& withdrawn = value.withdrawn_domains;
    for (std::size_t i = 0; i < withdrawn.size(); ++i)
    {
        const auto end = withdrawn.begin() + static_cast<std::ptrdiff_t>(i);
        if (std::find(withdrawn.begin(), end, withdrawn[i]) != end)
        {
            warnings.add(
                finding_kind::duplicate, item_path("withdrawn_domains", i),
                "'" + withdrawn[i] + "' is named twice");
        }
    }
    if (!value.failure_domains.empty() && !has_domain_in_service(value))
    {
        warnings.add(
            finding_kind::no_new_flows, "$.withdrawn_domains",
            "every failure domain is withdrawn: none takes new flows");
    }
}

void check_preset_fields(const configuration& value, warning_list& warnings)
{
    for (std::size_t i = 0; i < value.presets.size(); ++i)
    {
        const auto& item = value.presets[i];
        const std::string path = item_path("presets", i);
        if (item.limits.max_flows != preset_limits{}.max_flows)
        {
            warnings.add(
                finding_kind::without_effect, path + ".limits.max_flows",
                "no process applies it");
        }
        const auto& domains = value.failure_domains;
        const bool has_weight = std::any_of(
            domains.begin(), domains.end(),
            [&](const std::string& name)
            {
                const auto weight = item.weights.find(name);
                return !value.is_withdrawn(name) &&
                       (weight == item.weights.end() || weight->second != 0);
            });
        if (has_domain_in_service(value) && !has_weight)
        {
            warnings.add(
                finding_kind::limits_contradict, path + ".weights",
                "every failure domain in service has weight 0: new flows are "
                "spread as if all weights were 1");
        }
    }
}

/// Warns of a rate that is written as zero, which reads like "none".
void check_written_zeros(
    std::string_view text, const configuration& value, warning_list& warnings)
{
    const auto root = boost::json::parse(text);
    const auto& services = root.as_object().at("services").as_array();
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        constexpr std::string_view key = "cold_flows_per_second";
        const auto* rate = services[i].as_object().if_contains(key);
        if (rate != nullptr && rate->to_number<double>() == 0 &&
            value.services[i].protocol == service_protocol::datagram)
        {
            warnings.add(
                finding_kind::no_limit,
                item_path("services", i) + "." + std::string(key),
                "zero states no rate: a cold upstream is limited by its slots "
                "only");
        }
    }
}

bool is_empty(const configuration& value)
{
    return value.number == 0 && value.services.empty();
}

configuration_finding make_first_version()
{
    return {finding_severity::change,
            finding_kind::first_version,
            "$",
            "no configuration is in force",
            "there are no open flows",
            std::nullopt};
}

} // namespace

std::string_view to_string(finding_severity severity)
{
    return severity_names.at(static_cast<std::size_t>(severity));
}

std::string_view to_string(finding_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::vector<configuration_finding>
find_contradictions(const configuration& value)
{
    warning_list warnings;
    check_unused_services(value, warnings);
    check_service_limits(value, warnings);
    check_route_limits(value, warnings);
    check_withdrawals(value, warnings);
    check_preset_fields(value, warnings);
    return std::move(warnings.items);
}

std::vector<configuration_finding>
check_document(std::string_view text, const configuration* in_force)
{
    auto reading = read_configuration(text);
    if (!reading.value)
    {
        const bool is_json =
            reading.errors.front().kind != finding_kind::not_json &&
            reading.errors.front().kind != finding_kind::too_large;
        if (is_json)
        {
            detail::locate_findings(text, reading.errors);
        }
        return std::move(reading.errors);
    }
    warning_list warnings;
    check_written_zeros(text, *reading.value, warnings);
    auto findings = find_contradictions(*reading.value);
    findings.insert(
        findings.end(), warnings.items.begin(), warnings.items.end());
    if (in_force != nullptr && is_empty(*in_force))
    {
        findings.push_back(make_first_version());
    }
    else if (in_force != nullptr)
    {
        const auto changes = find_changes(*in_force, *reading.value);
        findings.insert(findings.end(), changes.begin(), changes.end());
    }
    detail::locate_findings(text, findings);
    return findings;
}

bool has_errors(const std::vector<configuration_finding>& findings)
{
    return std::any_of(
        findings.begin(), findings.end(),
        [](const configuration_finding& item)
        { return item.severity == finding_severity::error; });
}

} // namespace masticslip
