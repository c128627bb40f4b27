#include "member_document.hpp"

#include <boost/json.hpp>

namespace masticslip
{

namespace json = boost::json;

namespace
{

/// Longest name that a report of a companion carries.
constexpr std::size_t max_name_size = 64;

/// Returns a string member; empty if it is missing or of another type.
std::string string_member(const json::object& object, const char* key)
{
    const json::value* found = object.if_contains(key);
    const json::string* text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

/// Returns an address to which datagrams can be sent, or nullopt.
std::optional<endpoint>
address_member(const json::object& object, const char* key)
{
    const auto result = parse_endpoint(string_member(object, key));
    return result && result->port != 0 && result->address != 0 ? result
                                                               : std::nullopt;
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
    const auto control = address_member(*object, "control");
    const auto packets = address_member(*object, "packets");
    companion_record record;
    record.name = string_member(*object, "name");
    record.service = string_member(*object, "service");
    record.failure_domain = string_member(*object, "failure_domain");
    const bool has_names = !record.service.empty() &&
                           record.service.size() <= max_name_size &&
                           record.name.size() <= max_name_size &&
                           record.failure_domain.size() <= max_name_size;
    if (!control || !packets || !has_names)
    {
        reason = {
            result_code::dropped_malformed,
            "control and packets must be addresses, service must be set, and "
            "names must not be longer than " +
                std::to_string(max_name_size) + " bytes"};
        return std::nullopt;
    }
    record.id = {control->packed()};
    record.packet_address = *packets;
    return record;
}

} // namespace masticslip
