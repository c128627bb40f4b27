// Differences between two configurations and their effect on open flows.
// docs/PLATFORM.md and docs/DESIGN.md describe the behaviour behind each
// effect.

#include "masticslip/core/configuration_check.hpp"

#include "configuration_format.hpp"
#include "configuration_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace masticslip
{

namespace
{

using detail::item_path;

constexpr const char* no_effect = "none";
constexpr const char* not_applied = "none: no process applies it";

/// Collects changes of one kind of entry.
class change_list
{
public:
    void
    add(finding_kind kind,
        std::string path,
        std::string text,
        std::string effect)
    {
        this->items.push_back(
            {finding_severity::change, kind, std::move(path), std::move(text),
             std::move(effect), std::nullopt});
    }

    /// Adds a change unless both texts are equal.
    void compare(
        const std::string& path,
        const std::string& what,
        const std::string& before,
        const std::string& after,
        const std::string& effect)
    {
        if (before != after)
        {
            this->add(
                finding_kind::changed, path,
                what + ": " + before + " -> " + after, effect);
        }
    }

    std::vector<configuration_finding> items;
};

/// Shortest text that stands for the number.
std::string to_text(double value)
{
    std::array<char, 32> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

std::string to_text(std::chrono::milliseconds value)
{
    return value.count() == 0 ? "not stated"
                              : std::to_string(value.count()) + " ms";
}

std::string to_text(const endpoint& value)
{
    return value.port == 0 ? "none" : to_string(value);
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool has_coap_service(const configuration& value)
{
    return std::any_of(
        value.services.begin(), value.services.end(),
        [](const service_definition& item)
        { return item.protocol == service_protocol::coap; });
}

/// Joins the effect on flows of CoAP services and that on flows over routes,
/// as far as one of the versions has them.
std::string effect_by_path(
    const configuration& before,
    const configuration& after,
    const std::string& coap_effect,
    const std::string& route_effect)
{
    std::string result;
    if (has_coap_service(before) || has_coap_service(after))
    {
        result = "CoAP services: " + coap_effect;
    }
    if (!before.routes.empty() || !after.routes.empty())
    {
        result += (result.empty() ? "routes: " : "; routes: ") + route_effect;
    }
    return result.empty() ? no_effect : result;
}

/// Returns the item for which `matches` is true, or null.
template <class Item, class Predicate>
const Item* find_item(const std::vector<Item>& items, Predicate matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

std::string title_of(const route_definition& item)
{
    return "route '" + item.name + "' (" + to_string(item.address) + ")";
}

/// Routes are identified by their addresses, as packets are.
const route_definition*
find_route(const configuration& value, const endpoint& address)
{
    return find_item(
        value.routes, [&address](const route_definition& item)
        { return item.address == address; });
}

void compare_route(
    const route_definition& before,
    const route_definition& after,
    const std::string& path,
    change_list& changes)
{
    const std::string title = title_of(after);
    const auto kind_name = [](const route_definition& item)
    {
        return std::string(
            detail::request_kind_names.at(static_cast<std::size_t>(item.kind)));
    };
    changes.compare(
        path + ".name", "name of " + title, "'" + before.name + "'",
        "'" + after.name + "'", no_effect);
    changes.compare(
        path + ".service", title + ": service", before.service, after.service,
        "they stay with their upstreams of service '" + before.service +
            "'; new ones go to '" + after.service +
            "'. An entry that starts after the change may reset flows of the "
            "former service");
    changes.compare(
        path + ".kind", title + ": kind", kind_name(before), kind_name(after),
        is_repeatable(after.kind)
            ? "flows of a silent companion that the store does not list may "
              "be looked up elsewhere and reset"
            : "flows of a silent companion are kept until it answers or has "
              "left");
    changes.compare(
        path + ".time_limit_ms", title + ": time limit",
        to_text(before.time_limit), to_text(after.time_limit),
        "none: it limits how long an opening waits");
    changes.compare(
        path + ".target_latency_ms", title + ": target latency",
        to_text(before.target_latency), to_text(after.target_latency),
        "none: it orders waiting openings");
    changes.compare(
        path + ".priority", title + ": priority",
        std::to_string(before.priority), std::to_string(after.priority),
        "none: it orders waiting openings");
}

void compare_routes(
    const configuration& before,
    const configuration& after,
    change_list& changes)
{
    for (const auto& item : before.routes)
    {
        if (find_route(after, item.address) == nullptr)
        {
            changes.add(
                finding_kind::removed, "$.routes",
                title_of(item) + " is removed",
                "each is reset at its next packet; new ones are refused");
        }
    }
    for (std::size_t i = 0; i < after.routes.size(); ++i)
    {
        const auto& item = after.routes[i];
        const std::string path = item_path("routes", i);
        const auto* former = find_route(before, item.address);
        if (former == nullptr)
        {
            changes.add(
                finding_kind::added, path, title_of(item) + " is added",
                no_effect);
            continue;
        }
        compare_route(*former, item, path, changes);
    }
}

void compare_service(
    const service_definition& before,
    const service_definition& after,
    const std::string& path,
    change_list& changes)
{
    const std::string title = "service '" + after.name + "'";
    const auto protocol_name = [](const service_definition& item)
    {
        const bool is_coap = item.protocol == service_protocol::coap;
        return std::string(is_coap ? "coap" : "datagram");
    };
    changes.compare(
        path + ".protocol", title + ": protocol", protocol_name(before),
        protocol_name(after),
        "their packets are processed by the new protocol at once");
    changes.compare(
        path + ".address", title + ": address", to_text(before.address),
        to_text(after.address),
        "entries close the former address: packets sent there are lost");
    changes.compare(
        path + ".cold_flows_per_second", title + ": cold flows per second",
        to_text(before.cold_flows_per_second),
        to_text(after.cold_flows_per_second),
        "none: it limits new flows of a cold upstream");
    changes.compare(
        path + ".max_flows", title + ": max_flows",
        std::to_string(before.max_flows), std::to_string(after.max_flows),
        not_applied);
}

void compare_services(
    const configuration& before,
    const configuration& after,
    change_list& changes)
{
    for (const auto& item : before.services)
    {
        if (after.find_service(make_service_id(item.name)) == nullptr)
        {
            changes.add(
                finding_kind::removed, "$.services",
                "service '" + item.name + "' is removed",
                item.address.port == 0
                    ? "those whose route stays are kept by their upstreams"
                    : "entries close its address and companions drop its "
                      "packets without an answer");
        }
    }
    for (std::size_t i = 0; i < after.services.size(); ++i)
    {
        const auto& item = after.services[i];
        const std::string path = item_path("services", i);
        const auto* former = before.find_service(make_service_id(item.name));
        if (former == nullptr)
        {
            changes.add(
                finding_kind::added, path,
                "service '" + item.name + "' is added", no_effect);
            continue;
        }
        compare_service(*former, item, path, changes);
    }
}

/// Effect of a change of the preset in force, or of one of its fields.
std::string
preset_effect(const configuration& before, const configuration& after)
{
    return effect_by_path(
        before, after,
        "they stay with their upstreams; new flows follow the new "
        "weights and choice width, requests the new max_in_flight",
        "none");
}

void compare_preset(
    const preset& before,
    const preset& after,
    const std::string& path,
    const std::string& effect,
    change_list& changes)
{
    const std::string title = "preset '" + after.name + "'";
    changes.compare(
        path + ".choice_width", title + ": choice width",
        std::to_string(before.choice_width), std::to_string(after.choice_width),
        effect);
    changes.compare(
        path + ".limits.max_in_flight", title + ": max_in_flight",
        std::to_string(before.limits.max_in_flight),
        std::to_string(after.limits.max_in_flight), effect);
    changes.compare(
        path + ".limits.max_flows", title + ": max_flows",
        std::to_string(before.limits.max_flows),
        std::to_string(after.limits.max_flows), not_applied);
    const auto weights_of = [](const preset& item)
    {
        std::string result;
        for (const auto& [domain, weight] : item.weights)
        {
            result += (result.empty() ? "" : ", ") + domain + " " +
                      std::to_string(weight);
        }
        return result.empty() ? "none" : result;
    };
    changes.compare(
        path + ".weights", title + ": weights", weights_of(before),
        weights_of(after), effect);
}

void compare_presets(
    const configuration& before,
    const configuration& after,
    change_list& changes)
{
    const auto find_preset =
        [](const configuration& value, const std::string& name)
    {
        return find_item(
            value.presets,
            [&name](const preset& item) { return item.name == name; });
    };
    for (const auto& item : before.presets)
    {
        if (find_preset(after, item.name) == nullptr)
        {
            changes.add(
                finding_kind::removed, "$.presets",
                "preset '" + item.name + "' is removed", no_effect);
        }
    }
    for (std::size_t i = 0; i < after.presets.size(); ++i)
    {
        const auto& item = after.presets[i];
        const std::string path = item_path("presets", i);
        const auto* former = find_preset(before, item.name);
        if (former == nullptr)
        {
            changes.add(
                finding_kind::added, path,
                "preset '" + item.name + "' is added", no_effect);
            continue;
        }
        const bool is_in_force = item.name == after.preset_in_force;
        compare_preset(
            *former, item, path,
            is_in_force ? preset_effect(before, after)
                        : "none: the preset is not in force",
            changes);
    }
    changes.compare(
        "$.preset_in_force", "preset in force", before.preset_in_force,
        after.preset_in_force, preset_effect(before, after));
}

/// Adds a change for each name that only one of the lists has.
void compare_names(
    const std::string& list,
    const std::string& title,
    const std::vector<std::string>& before,
    const std::vector<std::string>& after,
    const std::string& added_effect,
    const std::string& removed_effect,
    change_list& changes)
{
    const std::string start = title + " '";
    for (std::size_t i = 0; i < after.size(); ++i)
    {
        if (!contains(before, after[i]))
        {
            changes.add(
                finding_kind::added, item_path(list, i),
                start + after[i] + "' is added", added_effect);
        }
    }
    for (const auto& name : before)
    {
        if (!contains(after, name))
        {
            changes.add(
                finding_kind::removed, "$." + list,
                start + name + "' is removed", removed_effect);
        }
    }
}

void compare_domains(
    const configuration& before,
    const configuration& after,
    change_list& changes)
{
    compare_names(
        "failure_domains", "failure domain", before.failure_domains,
        after.failure_domains, no_effect, no_effect, changes);
    compare_names(
        "withdrawn_domains", "withdrawn domain", before.withdrawn_domains,
        after.withdrawn_domains,
        effect_by_path(
            before, after,
            "flows of the domain are given up: watches end with 5.03, requests "
            "in progress with 5.04 (204)",
            "they stay and their packets are forwarded; the domain gets "
            "no new ones"),
        effect_by_path(
            before, after, "none: companions start with a limit of one",
            "none: the domain's upstreams count as cold"),
        changes);
}

} // namespace

std::vector<configuration_finding>
find_changes(const configuration& before, const configuration& after)
{
    change_list changes;
    compare_services(before, after, changes);
    compare_routes(before, after, changes);
    changes.compare(
        "$.flow_idle_limit_ms", "idle limit", to_text(before.flow_idle_limit),
        to_text(after.flow_idle_limit),
        effect_by_path(
            before, after, "none",
            "those without a packet for longer than the new limit are "
            "discarded at once"));
    compare_domains(before, after, changes);
    compare_presets(before, after, changes);
    return std::move(changes.items);
}

} // namespace masticslip
