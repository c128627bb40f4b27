#include "check_command.hpp"

#include "masticslip/core/configuration_check.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace masticslip
{

namespace json = boost::json;

namespace
{

/// Reads a file; prints an error and returns nullopt if it cannot be read.
std::optional<std::string>
read_file(const command_context& context, const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file)
    {
        context.errors << "masticslip: cannot read " << path << '\n';
        return std::nullopt;
    }
    return text;
}

/// Reads the version to compare with, from `--against` or from the store. On
/// failure, prints an error, sets `exit` and returns nullopt.
std::optional<configuration>
read_version_in_force(const command_context& context, cli_exit& exit)
{
    const std::string& path = context.settings.against;
    if (path.empty())
    {
        auto stored = read_stored(context, exit);
        return stored ? std::optional(std::move(stored->value)) : std::nullopt;
    }
    const auto text = read_file(context, path);
    if (!text)
    {
        exit = cli_exit::failure;
        return std::nullopt;
    }
    failure_reason reason;
    auto result = parse_configuration(*text, reason);
    if (!result)
    {
        reason.text = path + ": " + reason.text;
        exit = report_failure(context, reason);
    }
    return result;
}

json::object to_json(const configuration_finding& item)
{
    json::object result{
        {"severity", to_string(item.severity)},
        {"kind", to_string(item.kind)},
        {"path", item.path},
        {"text", item.text}};
    if (item.place)
    {
        result["line"] = item.place->line;
        result["column"] = item.place->column;
    }
    if (item.severity == finding_severity::change)
    {
        result["open_flows"] = item.effect;
    }
    return result;
}

void print_finding(
    const command_context& context, const configuration_finding& item)
{
    context.out << context.arguments[0];
    if (item.place)
    {
        context.out << ':' << item.place->line << ':' << item.place->column;
    }
    context.out << ": " << to_string(item.severity) << ": "
                << to_string(item.kind) << ": " << item.path << ": "
                << item.text << '\n';
    if (item.severity == finding_severity::change)
    {
        context.out << "    open flows: " << item.effect << '\n';
    }
}

std::string count_text(
    const std::vector<configuration_finding>& findings,
    finding_severity severity)
{
    const auto count = std::count_if(
        findings.begin(), findings.end(),
        [severity](const configuration_finding& item)
        { return item.severity == severity; });
    return std::to_string(count) + " " + std::string(to_string(severity)) +
           (count == 1 ? "" : "s");
}

void print_findings(
    const command_context& context,
    const std::vector<configuration_finding>& findings)
{
    if (context.settings.json)
    {
        json::array items;
        for (const auto& item : findings)
        {
            items.push_back(to_json(item));
        }
        context.out << json::serialize(items) << '\n';
        return;
    }
    for (const auto& item : findings)
    {
        print_finding(context, item);
    }
    context.out << count_text(findings, finding_severity::error) << ", "
                << count_text(findings, finding_severity::warning) << ", "
                << count_text(findings, finding_severity::change) << '\n';
}

} // namespace

cli_exit check_configuration_file(const command_context& context)
{
    if (context.settings.against.empty() && !require_store(context))
    {
        return cli_exit::usage;
    }
    const std::string& path = context.arguments[0];
    const auto text = read_file(context, path);
    if (!text)
    {
        return cli_exit::failure;
    }
    auto findings = check_document(*text, nullptr);
    if (has_errors(findings))
    {
        print_findings(context, findings);
        return report_failure(
            context,
            {result_code::config_invalid,
             path + ": " + count_text(findings, finding_severity::error)});
    }
    // Without the version in force the other findings are still of use.
    cli_exit exit = cli_exit::success;
    const auto in_force = read_version_in_force(context, exit);
    if (in_force)
    {
        findings = check_document(*text, &*in_force);
    }
    print_findings(context, findings);
    return exit;
}

} // namespace masticslip
