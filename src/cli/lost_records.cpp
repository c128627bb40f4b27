#include "lost_records.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace masticslip
{

namespace json = boost::json;

namespace
{

using changes_by_generation = std::map<generation, std::string>;
/// Processes by generation and change.
using processes_by_change =
    std::map<std::pair<generation, std::string>, std::set<std::string>>;

std::string read_text(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    const auto* text = value != nullptr ? value->if_string() : nullptr;
    return text != nullptr ? std::string(*text) : std::string();
}

generation read_generation(const json::object& object)
{
    const auto* value = object.if_contains("generation");
    json::error_code error;
    const auto number =
        value != nullptr ? value->to_number<generation>(error) : 0;
    return error ? 0 : number;
}

void add_change(changes_by_generation& changes, const json::value& value)
{
    const auto* object = value.if_object();
    const generation number = object != nullptr ? read_generation(*object) : 0;
    if (number == 0)
    {
        return;
    }
    std::string& change_id = changes[number];
    if (change_id.empty())
    {
        change_id = read_text(*object, "change");
    }
}

std::string name_of(const json::object& report)
{
    for (const char* key : {"name", "id"})
    {
        std::string text = read_text(report, key);
        if (!text.empty())
        {
            return text;
        }
    }
    return "unnamed";
}

processes_by_change group(const std::vector<remembered_change>& memory)
{
    processes_by_change result;
    for (const auto& item : memory)
    {
        result[{item.number, item.change_id}].insert(item.process);
    }
    return result;
}

/// Adds the generations between the last one accounted for and `number`.
void add_gap(
    std::vector<lost_record>& lost, generation accounted, generation number)
{
    if (number > accounted + 1)
    {
        lost.push_back({accounted + 1, number - 1, {}, {}, {}});
    }
}

std::string join(const std::vector<std::string>& names)
{
    std::string result;
    for (const auto& name : names)
    {
        result += result.empty() ? "" : ", ";
        result += name;
    }
    return result;
}

} // namespace

std::vector<remembered_change> read_memory(const json::object& report)
{
    changes_by_generation changes;
    if (const auto* current = report.if_contains("configuration"))
    {
        add_change(changes, *current);
    }
    const auto* history = report.if_contains("history");
    if (history != nullptr && history->is_array())
    {
        for (const auto& value : history->get_array())
        {
            add_change(changes, value);
        }
    }
    std::vector<remembered_change> result;
    for (const auto& [number, change_id] : changes)
    {
        result.push_back({name_of(report), number, change_id});
    }
    return result;
}

std::vector<lost_record> find_lost_records(
    const std::vector<audit_record>& chain,
    const std::vector<remembered_change>& memory)
{
    std::vector<lost_record> result;
    generation accounted = chain.size();
    for (const auto& [change, names] : group(memory))
    {
        const auto& [number, change_id] = change;
        const bool is_stored = number >= 1 && number <= chain.size();
        const std::string stored_id =
            is_stored ? chain[number - 1].change_id : std::string();
        if (is_stored && (change_id.empty() || change_id == stored_id))
        {
            continue;
        }
        add_gap(result, accounted, number);
        accounted = std::max(accounted, number);
        result.push_back(
            {number,
             number,
             change_id,
             stored_id,
             {names.begin(), names.end()}});
    }
    return result;
}

std::string describe(const lost_record& record)
{
    if (record.processes.empty())
    {
        const bool is_range = record.first != record.last;
        return "generation" + std::string(is_range ? "s " : " ") +
               std::to_string(record.first) +
               (is_range ? " to " + std::to_string(record.last) : "") +
               ": missing, remembered by no process";
    }
    std::string result = "generation " + std::to_string(record.first);
    result += record.change_id.empty() ? "" : "  " + record.change_id;
    result += record.stored_change_id.empty()
                  ? ": missing"
                  : ": replaced by " + record.stored_change_id;
    return result + ", remembered by " + join(record.processes);
}

} // namespace masticslip
