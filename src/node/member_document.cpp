#include "member_document.hpp"

#include <boost/json.hpp>

namespace masticslip
{

namespace json = boost::json;

namespace
{

/// Returns a string member; empty if it is missing or of another type.
std::string string_member(const json::object& object, const char* key)
{
    const json::value* found = object.if_contains(key);
    const json::string* text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

} // namespace

std::string serialize_member(const companion_record& record)
{
    return json::serialize(json::object{
        {"control", to_string(record.id.address())},
        {"packets", to_string(record.packet_address)},
        {"name", record.name},
        {"service", record.service},
        {"failure_domain", record.failure_domain}});
}

std::optional<companion_record>
parse_member(std::string_view text, failure_reason& reason)
{
    json::error_code error;
    const json::value root = json::parse(text, error);
    const json::object* object = error ? nullptr : root.if_object();
    if (object == nullptr)
    {
        reason = {result_code::dropped_malformed, "not a JSON object"};
        return std::nullopt;
    }
    const auto control = parse_endpoint(string_member(*object, "control"));
    const auto packets = parse_endpoint(string_member(*object, "packets"));
    companion_record record;
    record.name = string_member(*object, "name");
    record.service = string_member(*object, "service");
    record.failure_domain = string_member(*object, "failure_domain");
    if (!control || !packets || record.service.empty())
    {
        reason = {
            result_code::dropped_malformed,
            "control and packets must be addresses, and service must be set"};
        return std::nullopt;
    }
    record.id = {control->packed()};
    record.packet_address = *packets;
    return record;
}

} // namespace masticslip
