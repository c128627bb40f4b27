#include "policy_document.hpp"

#include "masticslip/flow/policy_succession.hpp"
#include "net/compression.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace masticslip
{

namespace json = boost::json;

namespace
{

/// Largest policy document accepted from a peer, uncompressed.
constexpr std::size_t max_policy_size = std::size_t{8} * 1024 * 1024;

/// Returns an unsigned member, or nullopt if it is missing or of another type.
std::optional<std::uint64_t>
number_member(const json::object& object, const char* key)
{
    const json::value* found = object.if_contains(key);
    json::error_code error;
    const auto value =
        found == nullptr ? 0 : found->to_number<std::uint64_t>(error);
    return found == nullptr || error ? std::nullopt
                                     : std::optional<std::uint64_t>(value);
}

/// Parses the carried withdrawals; nullopt if they are malformed.
std::optional<carried_withdrawals>
read_carried(const json::object& object, time_point now)
{
    const json::value* domains = object.if_contains("carried");
    const auto remaining = number_member(object, "carried_ms");
    if (domains == nullptr || !domains->is_array() || !remaining)
    {
        return std::nullopt;
    }
    carried_withdrawals result;
    for (const json::value& domain : domains->get_array())
    {
        if (!domain.is_string())
        {
            return std::nullopt;
        }
        result.domains.emplace(domain.get_string());
    }
    if (!result.domains.empty())
    {
        const std::uint64_t limit =
            std::chrono::milliseconds(policy_succession::carry_limit).count();
        result.until =
            now + std::chrono::milliseconds(std::min(*remaining, limit));
    }
    return result;
}

} // namespace

std::string serialize_policy(const policy& value, time_point now)
{
    json::array domains;
    for (const std::string& domain : value.carried().domains)
    {
        domains.emplace_back(domain);
    }
    const auto remaining =
        domains.empty() ? std::chrono::milliseconds(0)
                        : std::chrono::duration_cast<std::chrono::milliseconds>(
                              value.carried().until - now);
    const json::object head{
        {"era", value.position().era},
        {"revision", value.position().revision},
        {"configuration_era", value.mark().configuration_era},
        {"carried", std::move(domains)},
        {"carried_ms", std::max<std::int64_t>(remaining.count(), 0)}};
    return compress(
        json::serialize(head) + "\n" + serialize_configuration(value.value()));
}

std::optional<policy>
parse_policy(std::string_view data, time_point now, failure_reason& reason)
{
    reason.code = result_code::config_invalid;
    const auto document = decompress(data, max_policy_size, reason.text);
    if (!document)
    {
        return std::nullopt;
    }
    const std::string_view text = *document;
    const auto line_end = text.find('\n');
    json::error_code error;
    const json::value root = json::parse(text.substr(0, line_end), error);
    const json::object* head = error ? nullptr : root.if_object();
    if (head == nullptr || line_end == std::string_view::npos)
    {
        reason = {
            result_code::config_invalid,
            "the first line of the policy document is not a JSON object"};
        return std::nullopt;
    }
    const auto era = number_member(*head, "era");
    const auto revision = number_member(*head, "revision");
    const auto configuration_era = number_member(*head, "configuration_era");
    auto carried = read_carried(*head, now);
    if (!era || !revision || *revision == 0 || !configuration_era || !carried ||
        *configuration_era > *era)
    {
        reason = {
            result_code::config_invalid,
            "the policy document has no valid position or withdrawals"};
        return std::nullopt;
    }
    auto contents =
        parse_configuration(text.substr(line_end + 1), reason, max_policy_size);
    if (!contents)
    {
        return std::nullopt;
    }
    return policy(
        {*era, *revision}, std::move(*contents), *configuration_era,
        std::move(*carried));
}

} // namespace masticslip
