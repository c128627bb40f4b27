#include "fleet.hpp"

#include "net/http.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace masticslip
{

namespace json = boost::json;
namespace http = boost::beast::http;

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds call_timeout = 1s;

std::string text_of(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    const auto* text = value != nullptr ? value->if_string() : nullptr;
    return text == nullptr ? "" : std::string(*text);
}

std::uint64_t number_of(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    json::error_code error;
    const auto number =
        value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

} // namespace

bool fleet::refresh()
{
    this->known_members.clear();
    this->status_reports.clear();
    std::set<endpoint> queried;
    std::vector<endpoint> pending = this->entries;
    while (!pending.empty())
    {
        const endpoint next = pending.back();
        pending.pop_back();
        if (next == endpoint{} || !queried.insert(next).second)
        {
            continue;
        }
        const auto report = this->get(next, "/status");
        if (!report)
        {
            continue;
        }
        this->merge(*report);
        this->status_reports.push_back(*report);
        for (const auto& [id, member] : this->known_members)
        {
            if (member.role == "entry" && member.state != "left")
            {
                pending.push_back(member.admin);
            }
        }
    }
    return !this->status_reports.empty();
}

void fleet::merge(const json::object& report)
{
    const auto* members = report.if_contains("members");
    if (members == nullptr || !members->is_array())
    {
        return;
    }
    for (const auto& value : members->get_array())
    {
        if (!value.is_object())
        {
            continue;
        }
        const json::object& item = value.get_object();
        const std::string id = text_of(item, "id");
        fleet_member& member = this->known_members[id];
        member.id = id;
        member.name = text_of(item, "name");
        member.role = text_of(item, "role");
        member.state = text_of(item, "state");
        member.failure_domain = text_of(item, "failure_domain");
        const auto admin = parse_endpoint(text_of(item, "admin"));
        member.admin = admin.value_or(endpoint{});
        member.number = std::max(member.number, number_of(item, "generation"));
    }
}

std::vector<json::object> fleet::companion_reports(const std::string& target)
{
    std::vector<json::object> result;
    for (const auto& [id, member] : this->known_members)
    {
        const bool is_present_companion =
            member.role == "companion" && member.state != "left";
        if (!is_present_companion)
        {
            continue;
        }
        if (const auto report = this->get(member.admin, target))
        {
            result.push_back(*report);
        }
    }
    return result;
}

std::vector<fleet_member> fleet::members_behind(generation number) const
{
    std::vector<fleet_member> result;
    for (const auto& [id, member] : this->known_members)
    {
        if (member.state != "left" && member.number < number)
        {
            result.push_back(member);
        }
    }
    return result;
}

std::size_t fleet::post_configuration(const std::string& document)
{
    std::size_t count = 0;
    for (const endpoint& entry : this->entries)
    {
        http_call call;
        call.server = entry;
        call.method = http::verb::post;
        call.target = "/configuration";
        call.body = document;
        call.timeout = call_timeout;
        const auto response = send_http_blocking(call, this->reason);
        count += response && response->result() == http::status::ok ? 1 : 0;
    }
    return count;
}

std::optional<json::object>
fleet::get(const endpoint& admin, const std::string& target)
{
    http_call call;
    call.server = admin;
    call.target = target;
    call.timeout = call_timeout;
    const auto response = send_http_blocking(call, this->reason);
    if (!response)
    {
        return std::nullopt;
    }
    json::error_code error;
    const json::value value = json::parse(response->body(), error);
    if (error || !value.is_object())
    {
        this->reason =
            to_string(admin) + ": response body is not a JSON object";
        return std::nullopt;
    }
    return value.get_object();
}

} // namespace masticslip
