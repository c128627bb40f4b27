#include "daemon_settings.hpp"

#include "masticslip_version.hpp"

#include <sodium.h>

namespace masticslip
{

namespace
{

shared_key parse_key(const std::string& text)
{
    shared_key key{};
    std::size_t size = 0;
    sodium_hex2bin(
        key.data(), key.size(), text.data(), text.size(), nullptr, &size,
        nullptr);
    return key;
}

endpoint get_endpoint(const setting_values& values, const std::string& name)
{
    return parse_endpoint(values.get(name)).value_or(endpoint{});
}

std::vector<endpoint>
get_endpoints(const setting_values& values, const std::string& name)
{
    std::vector<endpoint> result;
    for (const auto& item : split_list(values.get(name)))
    {
        result.push_back(*parse_endpoint(item));
    }
    return result;
}

limit_policy parse_policy(const std::string& text)
{
    if (text == "fixed")
    {
        return limit_policy::fixed;
    }
    return text == "gradient" ? limit_policy::gradient : limit_policy::aimd;
}

/// Checks that the settings required by the role are set.
void check_role(const setting_values& values, std::vector<std::string>& faults)
{
    if (values.get("role") == "companion")
    {
        for (const char* name :
             {"service", "upstream-bind", "upstream-address", "seeds"})
        {
            if (!values.is_set(name))
            {
                faults.push_back(
                    "--" + std::string(name) + " (" + environment_name(name) +
                    "): must be given for role companion");
            }
        }
    }
}

} // namespace

setting_table make_daemon_settings_table()
{
    setting_table table(
        "masticslipd", version_text,
        {{"role", "`entry` or `companion`", "",
          required(one_of({"entry", "companion"}))},
         {"name", "Name in logs and reports", "", name_value()},
         {"failure-domain", "Failure domain of this instance", "",
          required(name_value())},
         {"internal-bind",
          "UDP address for other processes of the system; it is also the "
          "identity of this instance",
          "", required(endpoint_value())},
         {"admin-bind", "HTTP address for status, metrics and configuration",
          "", required(endpoint_value())},
         {"seeds", "Internal addresses of a few entries, comma-separated", "",
          endpoint_list()},
         {"key", "Shared key that signs internal messages (32 hex digits)", "",
          required(hex_key())},
         {"former-key", "Key that is still accepted during a rotation", "",
          hex_key()},
         {"store", "Addresses of the platform's key-value service (entry)", "",
          endpoint_list()},
         {"service-bind",
          "Local address in place of each service address's own (entry); the "
          "port is the service's",
          "", endpoint_value()},
         {"cache-flows", "Flows in the owner cache (entry)", "400000",
          number_value(2, 50'000'000)},
         {"service", "Service of the upstream (companion)", "", name_value()},
         {"upstream-bind", "UDP address that the upstream talks to (companion)",
          "", endpoint_value()},
         {"upstream-address", "UDP address of the upstream (companion)", "",
          endpoint_value()},
         {"limit-policy", "Admission limit: `fixed`, `aimd` or `gradient`",
          "aimd", one_of({"fixed", "aimd", "gradient"})},
         {"drain-limit-ms",
          "Longest graceful stop of a companion before what is left gets a "
          "final answer",
          "30000", number_value(0, 3'600'000)},
         {"linger-ms", "How long a stopping entry goes on forwarding", "2000",
          number_value(0, 600'000)},
         {"log-level", "`debug`, `info`, `warning` or `error`", "info",
          one_of({"debug", "info", "warning", "error"})},
         {"trace-one-in", "Packets of which one is traced; 0 traces none",
          "1000", number_value(0, 1'000'000'000)}});
    table.add_switch("check-settings", "Check the settings and exit");
    return table;
}

std::optional<daemon_settings> read_daemon_settings(
    int argc, const char* const* argv, std::vector<std::string>& faults)
{
    const setting_table table = make_daemon_settings_table();
    const auto values = table.read(argc, argv, faults);
    if (!values)
    {
        return std::nullopt;
    }
    check_role(*values, faults);
    if (!faults.empty())
    {
        return std::nullopt;
    }
    daemon_settings result;
    result.is_entry = values->get("role") == "entry";
    result.failure_domain = values->get("failure-domain");
    result.internal_bind = get_endpoint(*values, "internal-bind");
    result.name = values->is_set("name") ? values->get("name")
                                         : to_string(result.internal_bind);
    result.admin_bind = get_endpoint(*values, "admin-bind");
    result.service = values->get("service");
    result.upstream_bind = get_endpoint(*values, "upstream-bind");
    result.upstream_address = get_endpoint(*values, "upstream-address");
    result.service_bind = parse_endpoint(values->get("service-bind"));
    for (const endpoint& seed : get_endpoints(*values, "seeds"))
    {
        result.seeds.push_back({seed.packed()});
    }
    result.store = get_endpoints(*values, "store");
    result.keys.push_back(parse_key(values->get("key")));
    if (values->is_set("former-key"))
    {
        result.keys.push_back(parse_key(values->get("former-key")));
    }
    result.policy = parse_policy(values->get("limit-policy"));
    parse_log_level(values->get("log-level"), result.level);
    result.trace_sampling_interval =
        static_cast<std::uint32_t>(std::stoul(values->get("trace-one-in")));
    result.cache_flows = std::stoul(values->get("cache-flows"));
    result.drain_limit =
        std::chrono::milliseconds(std::stoul(values->get("drain-limit-ms")));
    result.stop_delay =
        std::chrono::milliseconds(std::stoul(values->get("linger-ms")));
    result.check_only = values->is_set("check-settings");
    return result;
}

} // namespace masticslip
