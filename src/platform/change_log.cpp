#include "change_log.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

#include <sodium.h>

namespace masticslip
{

namespace json = boost::json;

namespace
{

constexpr std::size_t hash_size = 32;

std::string get_string(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    const auto* text = value != nullptr ? value->if_string() : nullptr;
    return text == nullptr ? "" : std::string(*text);
}

std::int64_t get_integer(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    json::error_code error;
    const auto number =
        value == nullptr ? 0 : value->to_number<std::int64_t>(error);
    return error ? 0 : number;
}

std::string join(const std::vector<std::string>& names)
{
    std::string result;
    for (const auto& name : names)
    {
        result += (result.empty() ? "" : ", ") + name;
    }
    return result.empty() ? "none" : result;
}

std::string describe(const service_definition& service)
{
    const bool coap = service.protocol == service_protocol::coap;
    return to_string(service.address) + (coap ? " coap" : " datagram");
}

std::string describe(const preset& item)
{
    std::string result =
        "choice_width=" + std::to_string(item.choice_width) +
        " max_in_flight=" + std::to_string(item.limits.max_in_flight) +
        " max_flows=" + std::to_string(item.limits.max_flows);
    for (const auto& [domain, weight] : item.weights)
    {
        result += " " + domain + "=" + std::to_string(weight);
    }
    return result;
}

template <class Item>
std::map<std::string, std::string>
describe_by_name(const std::vector<Item>& items)
{
    std::map<std::string, std::string> result;
    for (const auto& item : items)
    {
        result[item.name] = describe(item);
    }
    return result;
}

std::string make_line_prefix(const std::string& kind, const std::string& name)
{
    std::string result = kind;
    result += ' ';
    result += name;
    result += ": ";
    return result;
}

void compare_maps(
    std::vector<std::string>& lines,
    const std::string& kind,
    const std::map<std::string, std::string>& before,
    const std::map<std::string, std::string>& after)
{
    for (const auto& [name, text] : before)
    {
        const std::string line_prefix = make_line_prefix(kind, name);
        const auto found = after.find(name);
        if (found == after.end())
        {
            lines.push_back(line_prefix + "removed");
        }
        else if (found->second != text)
        {
            lines.push_back(line_prefix + text + " -> " + found->second);
        }
    }
    for (const auto& [name, text] : after)
    {
        if (!before.contains(name))
        {
            lines.push_back(make_line_prefix(kind, name) + "added " + text);
        }
    }
}

void compare_text(
    std::vector<std::string>& lines,
    const std::string& kind,
    const std::string& before,
    const std::string& after)
{
    if (before != after)
    {
        lines.push_back(kind + ": " + before + " -> " + after);
    }
}

} // namespace

std::string audit_key(generation number)
{
    std::array<char, 32> text{};
    std::snprintf(
        text.data(), text.size(), "%016llu",
        static_cast<unsigned long long>(number));
    return audit_prefix + std::string(text.data());
}

std::string serialize_audit(const audit_record& record)
{
    json::array differences;
    for (const auto& line : record.differences)
    {
        differences.emplace_back(line);
    }
    return json::serialize(json::object{
        {"generation", record.number},
        {"change_id", record.change_id},
        {"operator", record.operator_name},
        {"reason", record.reason},
        {"accepted_at_us", record.requested_at},
        {"differences", differences},
        {"document_hash", record.document_hash},
        {"previous_hash", record.previous_hash}});
}

std::optional<audit_record>
parse_audit(std::string_view text, failure_reason& reason)
{
    json::error_code error;
    const json::value root = json::parse(text, error);
    const auto* object = error ? nullptr : root.if_object();
    if (object == nullptr)
    {
        reason = {
            result_code::config_invalid, "audit record is not a JSON object"};
        return std::nullopt;
    }
    audit_record record;
    record.number = static_cast<generation>(get_integer(*object, "generation"));
    record.change_id = get_string(*object, "change_id");
    record.operator_name = get_string(*object, "operator");
    record.reason = get_string(*object, "reason");
    record.requested_at = get_integer(*object, "accepted_at_us");
    record.document_hash = get_string(*object, "document_hash");
    record.previous_hash = get_string(*object, "previous_hash");
    const auto* lines = object->if_contains("differences");
    if (lines != nullptr && lines->is_array())
    {
        for (const auto& line : lines->get_array())
        {
            const auto* value = line.if_string();
            record.differences.emplace_back(
                value == nullptr ? "" : std::string(*value));
        }
    }
    return record;
}

std::string hash_text(std::string_view text)
{
    std::array<unsigned char, hash_size> digest{};
    crypto_generichash(
        digest.data(), digest.size(),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(),
        nullptr, 0);
    std::string result(hash_size * 2 + 1, '\0');
    sodium_bin2hex(result.data(), result.size(), digest.data(), digest.size());
    result.pop_back();
    return result;
}

std::vector<std::string>
describe_differences(const configuration& before, const configuration& after)
{
    std::vector<std::string> lines;
    compare_text(
        lines, "preset in force", before.preset_in_force,
        after.preset_in_force);
    compare_text(
        lines, "withdrawn domains", join(before.withdrawn_domains),
        join(after.withdrawn_domains));
    compare_text(
        lines, "failure domains", join(before.failure_domains),
        join(after.failure_domains));
    compare_maps(
        lines, "service", describe_by_name(before.services),
        describe_by_name(after.services));
    compare_maps(
        lines, "preset", describe_by_name(before.presets),
        describe_by_name(after.presets));
    return lines;
}

std::optional<std::size_t>
verify_chain(const std::vector<std::string>& records, failure_reason& reason)
{
    std::string previous_hash;
    generation previous = 0;
    for (const auto& text : records)
    {
        const auto record = parse_audit(text, reason);
        if (!record)
        {
            return std::nullopt;
        }
        const std::string name = "generation " + std::to_string(record->number);
        if (record->number != previous + 1)
        {
            reason = {
                result_code::config_invalid,
                name + ": preceding record is generation " +
                    std::to_string(previous)};
            return std::nullopt;
        }
        if (record->previous_hash != previous_hash)
        {
            reason = {
                result_code::config_invalid,
                name + ": hash of the preceding record does not match"};
            return std::nullopt;
        }
        previous = record->number;
        previous_hash = hash_text(text);
    }
    return records.size();
}

} // namespace masticslip
