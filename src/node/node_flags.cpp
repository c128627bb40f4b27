#include "node_flags.hpp"

#include "masticslip_version.hpp"

#include <charconv>

namespace masticslip
{

namespace
{

constexpr std::uint64_t max_port = 65'535;

} // namespace

setting_table make_node_settings_table()
{
    setting_table table(
        "masticslip_node", version_text,
        {{"log-level", "Lowest level of log lines that are written", "info",
          one_of({"trace", "debug", "info", "warning", "error", "fatal"})},
         {"metrics-port",
          "TCP port for metrics in the Prometheus text format; 0: not served",
          "0", number_value(0, max_port)},
         {"placement", "Rule by which an entry places new flows",
          std::string(default_placement), one_of(placement_rule_names())}});
    table.add_switch(
        "check-settings", "Check all settings and end; nothing is opened");
    return table;
}

void apply_flags(const setting_values& flags, node_settings& settings)
{
    parse_log_level(flags.get("log-level"), settings.level);
    settings.placement = flags.get("placement");
    const std::string& text = flags.get("metrics-port");
    std::uint16_t port = 0;
    std::from_chars(text.data(), text.data() + text.size(), port);
    if (port != 0)
    {
        settings.metrics_address = {settings.packet_address.address, port};
    }
}

} // namespace masticslip
