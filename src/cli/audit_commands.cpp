#include "audit_commands.hpp"

#include "fleet.hpp"
#include "lost_records.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace masticslip
{

namespace json = boost::json;

namespace
{

/// Status reports of all entries and companions that answer.
std::vector<json::object> query_reports(fleet& instances)
{
    if (!instances.refresh())
    {
        return {};
    }
    std::vector<json::object> result = instances.reports();
    const auto companions = instances.companion_reports("/status");
    result.insert(result.end(), companions.begin(), companions.end());
    return result;
}

/// Zero if the value is missing or no such number.
template <class Number>
Number number_of(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    json::error_code error;
    const Number number =
        value != nullptr ? value->to_number<Number>(error) : Number{};
    return error ? Number{} : number;
}

/// Wall-clock time at which this generation or a newer one came into force at
/// an instance, by the oldest such entry of its history, in microseconds; zero
/// if the history has none.
std::int64_t in_force_since(const json::object& report, generation number)
{
    const auto* history = report.if_contains("history");
    if (history == nullptr || !history->is_array())
    {
        return 0;
    }
    for (const auto& value : history->get_array())
    {
        const auto* item = value.if_object();
        if (item != nullptr &&
            number_of<generation>(*item, "generation") >= number)
        {
            return number_of<std::int64_t>(*item, "since_us");
        }
    }
    return 0;
}

struct in_force_summary
{
    std::size_t instances = 0;
    std::int64_t last_us = 0;
};

in_force_summary
summarize(const std::vector<json::object>& reports, generation number)
{
    in_force_summary result;
    for (const auto& report : reports)
    {
        const std::int64_t since = in_force_since(report, number);
        result.instances += since > 0 ? 1 : 0;
        result.last_us = std::max(result.last_us, since);
    }
    return result;
}

std::optional<std::vector<std::string>>
read_audit_texts(const command_context& context, cli_exit& exit)
{
    if (!require_store(context))
    {
        exit = cli_exit::usage;
        return std::nullopt;
    }
    failure_reason reason;
    auto result = with_store(
        context, [&](config_store& store) { return store.read_audit(reason); });
    if (!result)
    {
        exit = report_failure(context, reason);
    }
    return result;
}

json::object
audit_to_json(const audit_record& record, const in_force_summary& summary)
{
    return {
        {"generation", record.number},
        {"change_id", record.change_id},
        {"operator", record.operator_name},
        {"reason", record.reason},
        {"accepted_at_us", record.requested_at},
        {"differences", json::value_from(record.differences)},
        {"in_force_instances", summary.instances},
        {"in_force_last_us", summary.last_us}};
}

void print_audit(
    const command_context& context,
    const audit_record& record,
    const in_force_summary& summary)
{
    context.out << "generation " << record.number << "  " << record.change_id
                << "  by " << record.operator_name << ": " << record.reason
                << '\n';
    for (const auto& line : record.differences)
    {
        context.out << "  " << line << '\n';
    }
    if (summary.instances > 0)
    {
        context.out << "  in force at " << summary.instances
                    << " instances, the last one "
                    << (summary.last_us - record.requested_at) / 1000
                    << " ms after the change was requested\n";
    }
}

/// What all processes remember; of those that do not answer, what an entry
/// last heard from them.
std::vector<remembered_change> collect_memory(fleet& instances)
{
    std::vector<remembered_change> result;
    std::set<std::string> processes;
    for (const auto& report : query_reports(instances))
    {
        for (const auto& item : read_memory(report))
        {
            processes.insert(item.process);
            result.push_back(item);
        }
    }
    for (const auto& [id, member] : instances.members())
    {
        const std::string& name = member.name.empty() ? id : member.name;
        if (member.number > 0 && !processes.contains(name))
        {
            result.push_back(
                {name + " (as an entry heard)", member.number, ""});
        }
    }
    return result;
}

std::vector<audit_record> parse_chain(const std::vector<std::string>& texts)
{
    std::vector<audit_record> result;
    for (const auto& text : texts)
    {
        failure_reason ignored;
        result.push_back(parse_audit(text, ignored).value_or(audit_record{}));
    }
    return result;
}

cli_exit report_lost(
    const command_context& context,
    std::size_t count,
    const std::vector<lost_record>& lost)
{
    for (const auto& record : lost)
    {
        context.out << describe(record) << '\n';
    }
    return report_failure(
        context, {result_code::config_records_lost,
                  "the links of the " + std::to_string(count) +
                      " records are intact, but processes remember others"});
}

void print_unseen(const command_context& context, const fleet& instances)
{
    const bool has_answers = !instances.reports().empty();
    context.out << (has_answers
                        ? "no process remembers a configuration"
                        : "no process answers: " + instances.last_reason())
                << "\nwhether newer records are missing cannot be seen\n";
}

} // namespace

cli_exit show_audit(const command_context& context)
{
    cli_exit exit = cli_exit::success;
    const auto texts = read_audit_texts(context, exit);
    if (!texts)
    {
        return exit;
    }
    fleet instances(context.settings.entries);
    const auto reports = query_reports(instances);
    json::array items;
    for (const auto& text : *texts)
    {
        failure_reason reason;
        const auto record = parse_audit(text, reason);
        if (!record)
        {
            return report_failure(context, reason);
        }
        const auto summary = summarize(reports, record->number);
        if (context.settings.json)
        {
            items.push_back(audit_to_json(*record, summary));
        }
        else
        {
            print_audit(context, *record, summary);
        }
    }
    if (context.settings.json)
    {
        context.out << json::serialize(items) << '\n';
    }
    return cli_exit::success;
}

cli_exit verify_audit(const command_context& context)
{
    if (!require_store(context))
    {
        return cli_exit::usage;
    }
    // Asked before the store is read: what is in force is in the store by then.
    fleet instances(context.settings.entries);
    const auto memory = collect_memory(instances);
    cli_exit exit = cli_exit::success;
    const auto texts = read_audit_texts(context, exit);
    if (!texts)
    {
        return exit;
    }
    failure_reason reason;
    const auto count = verify_chain(*texts, reason);
    if (!count)
    {
        return report_failure(context, reason);
    }
    const auto lost = find_lost_records(parse_chain(*texts), memory);
    if (!lost.empty())
    {
        return report_lost(context, *count, lost);
    }
    context.out << "the chain of " << *count << " records is intact\n";
    if (memory.empty())
    {
        print_unseen(context, instances);
    }
    return cli_exit::success;
}

} // namespace masticslip
