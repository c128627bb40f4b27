#include "cli_settings.hpp"

#include "masticslip_version.hpp"

#include <cstdlib>

namespace masticslip
{

namespace
{

constexpr std::uint64_t max_timeout = 3'600'000;

std::vector<endpoint> to_endpoints(const std::string& text)
{
    std::vector<endpoint> result;
    for (const auto& item : split_list(text))
    {
        result.push_back(*parse_endpoint(item));
    }
    return result;
}

} // namespace

setting_table make_cli_settings_table()
{
    setting_table table(
        "masticslip NOUN [VERB] [ARGUMENT]: config show|apply FILE|check "
        "FILE|diff FILE|settle ID GENERATION; preset list|use NAME; domain "
        "list|out "
        "NAME|in NAME; status; upstreams; flows; audit [verify]; "
        "story flow ID FILE...|policy NUMBER FILE...",
        version_text,
        {{"store", "Addresses of the platform's key-value service", "",
          endpoint_list()},
         {"entries", "Admin addresses of entries, comma-separated", "",
          endpoint_list()},
         {"operator", "Who makes the change; default: the login name", "",
          name_value()},
         {"reason", "Why the change is made; required for changes", "",
          any_value()},
         {"against",
          "File with the version in force for `config check`; default: the "
          "store's",
          "", any_value()},
         {"timeout-ms", "Longest time to wait", "6000",
          number_value(1, max_timeout)}});
    table.add_switch("json", "Print JSON");
    table.add_switch("wait", "Wait until the change is in force everywhere");
    return table;
}

std::optional<cli_settings> read_cli_settings(
    int argc, const char* const* argv, std::vector<std::string>& faults)
{
    cli_settings result;
    const setting_table table = make_cli_settings_table();
    const auto values = table.read(argc, argv, faults, &result.words);
    if (!values)
    {
        return std::nullopt;
    }
    result.store = to_endpoints(values->get("store"));
    result.entries = to_endpoints(values->get("entries"));
    result.operator_name = values->get("operator");
    if (result.operator_name.empty())
    {
        const char* login = std::getenv("USER");
        result.operator_name = login != nullptr ? login : "unknown";
    }
    result.reason = values->get("reason");
    result.against = values->get("against");
    result.timeout =
        std::chrono::milliseconds(std::stoul(values->get("timeout-ms")));
    result.json = values->is_set("json");
    result.wait = values->is_set("wait");
    return result;
}

} // namespace masticslip
