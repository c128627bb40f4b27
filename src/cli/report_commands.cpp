#include "report_commands.hpp"

#include "fleet.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iomanip>
#include <iterator>

namespace masticslip
{

namespace json = boost::json;

namespace
{

std::optional<fleet> query_fleet(const command_context& context)
{
    fleet instances(context.settings.entries);
    if (!instances.refresh())
    {
        context.errors << "masticslip: no entry answers: "
                       << instances.last_reason() << '\n';
        return std::nullopt;
    }
    return instances;
}

json::array to_array(const std::vector<std::string>& names)
{
    json::array result;
    for (const auto& name : names)
    {
        result.emplace_back(name);
    }
    return result;
}

std::string text_of(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr)
    {
        return "-";
    }
    const auto* text = value->if_string();
    return text != nullptr ? std::string(*text) : json::serialize(*value);
}

void print_columns(
    const command_context& context,
    const json::object& report,
    const std::vector<std::pair<std::string, int>>& columns)
{
    for (const auto& [key, width] : columns)
    {
        context.out << std::left << std::setw(width) << text_of(report, key)
                    << ' ';
    }
    context.out << '\n';
}

void print_header(
    const command_context& context,
    const std::vector<std::pair<std::string, int>>& columns)
{
    for (const auto& [key, width] : columns)
    {
        context.out << std::left << std::setw(width) << key << ' ';
    }
    context.out << '\n';
}

void print_flows(const command_context& context, const json::object& report)
{
    const auto* flows = report.if_contains("flows");
    if (flows == nullptr || !flows->is_array())
    {
        return;
    }
    for (const auto& value : flows->get_array())
    {
        if (const auto* flow = value.if_object())
        {
            context.out << "  " << text_of(*flow, "caller") << " watches "
                        << text_of(*flow, "watches") << '\n';
        }
    }
}

} // namespace

cli_exit show_configuration(const command_context& context)
{
    cli_exit exit = cli_exit::success;
    const auto stored = read_stored(context, exit);
    if (!stored)
    {
        return exit;
    }
    if (stored->revision == 0)
    {
        return report_failure(
            context,
            {result_code::config_not_found, "no configuration in the store"});
    }
    context.out << stored->text << '\n';
    return cli_exit::success;
}

cli_exit diff_configuration(const command_context& context)
{
    cli_exit exit = cli_exit::success;
    const auto stored = read_stored(context, exit);
    if (!stored)
    {
        return exit;
    }
    std::ifstream file(context.arguments[0], std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    failure_reason reason;
    const auto proposed = parse_configuration(text, reason);
    if (!proposed)
    {
        reason.text = context.arguments[0] + ": " + reason.text;
        return report_failure(context, reason);
    }
    const auto lines = describe_differences(stored->value, *proposed);
    if (context.settings.json)
    {
        context.out << json::serialize(to_array(lines)) << '\n';
        return cli_exit::success;
    }
    for (const auto& line : lines)
    {
        context.out << line << '\n';
    }
    return cli_exit::success;
}

cli_exit list_presets(const command_context& context)
{
    cli_exit exit = cli_exit::success;
    const auto stored = read_stored(context, exit);
    if (!stored)
    {
        return exit;
    }
    json::array names;
    for (const auto& item : stored->value.presets)
    {
        const bool in_force = item.name == stored->value.preset_in_force;
        names.push_back(
            json::object{{"name", item.name}, {"in_force", in_force}});
        if (!context.settings.json)
        {
            context.out << (in_force ? "* " : "  ") << item.name << '\n';
        }
    }
    if (context.settings.json)
    {
        context.out << json::serialize(names) << '\n';
    }
    return cli_exit::success;
}

cli_exit list_domains(const command_context& context)
{
    cli_exit exit = cli_exit::success;
    const auto stored = read_stored(context, exit);
    if (!stored)
    {
        return exit;
    }
    json::array items;
    for (const auto& name : stored->value.failure_domains)
    {
        const bool withdrawn = stored->value.is_withdrawn(name);
        items.push_back(json::object{{"name", name}, {"withdrawn", withdrawn}});
        if (!context.settings.json)
        {
            context.out << name << (withdrawn ? " withdrawn" : " in service")
                        << '\n';
        }
    }
    if (context.settings.json)
    {
        context.out << json::serialize(items) << '\n';
    }
    return cli_exit::success;
}

cli_exit show_status(const command_context& context)
{
    auto instances = query_fleet(context);
    if (!instances)
    {
        return cli_exit::failure;
    }
    if (context.settings.json)
    {
        json::array reports;
        for (const auto& report : instances->reports())
        {
            reports.push_back(report);
        }
        context.out << json::serialize(reports) << '\n';
        return cli_exit::success;
    }
    const std::vector<std::pair<std::string, int>> columns{
        {"name", 16},
        {"state", 10},
        {"packets_forwarded", 18},
        {"replies_delivered", 18},
        {"cached_flows", 13},
        {"store_calls", 12}};
    print_header(context, columns);
    for (const auto& report : instances->reports())
    {
        print_columns(context, report, columns);
    }
    context.out << '\n';
    for (const auto& [id, member] : instances->members())
    {
        context.out << std::left << std::setw(16) << member.name << ' '
                    << std::setw(10) << member.role << ' ' << std::setw(10)
                    << member.state << ' ' << std::setw(14)
                    << member.failure_domain << " generation " << member.number
                    << '\n';
    }
    return cli_exit::success;
}

cli_exit show_upstreams(const command_context& context)
{
    auto instances = query_fleet(context);
    if (!instances)
    {
        return cli_exit::failure;
    }
    const auto reports = instances->companion_reports("/status");
    if (context.settings.json)
    {
        json::array items(reports.begin(), reports.end());
        context.out << json::serialize(items) << '\n';
        return cli_exit::success;
    }
    const std::vector<std::pair<std::string, int>> columns{
        {"name", 16},
        {"service", 12},
        {"failure_domain", 14},
        {"state", 10},
        {"flows", 7},
        {"watches", 8},
        {"in_flight", 10},
        {"limit", 6},
        {"upstream_present", 17},
        {"withdrawn", 10},
        {"last_upstream_packet_ms_ago", 28}};
    print_header(context, columns);
    for (const auto& report : reports)
    {
        print_columns(context, report, columns);
    }
    return cli_exit::success;
}

cli_exit show_flows(const command_context& context)
{
    auto instances = query_fleet(context);
    if (!instances)
    {
        return cli_exit::failure;
    }
    const auto reports = instances->companion_reports("/flows");
    if (context.settings.json)
    {
        json::array items(reports.begin(), reports.end());
        context.out << json::serialize(items) << '\n';
        return cli_exit::success;
    }
    for (const auto& report : reports)
    {
        context.out << text_of(report, "owner") << ": "
                    << text_of(report, "total") << " flows\n";
        print_flows(context, report);
    }
    return cli_exit::success;
}

} // namespace masticslip
