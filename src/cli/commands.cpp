#include "commands.hpp"

#include "audit_commands.hpp"
#include "change_commands.hpp"
#include "check_command.hpp"
#include "report_commands.hpp"
#include "story_commands.hpp"

#include <functional>
#include <map>
#include <ostream>

namespace masticslip
{

namespace
{

using command = std::function<cli_exit(const command_context&)>;

struct command_entry
{
    command run;
    std::size_t argument_count = 0;
    /// If true, `argument_count` is the minimum instead of the exact number.
    bool is_variadic = false;
};

const std::map<std::string, command_entry>& command_table()
{
    static const std::map<std::string, command_entry> table{
        {"config show", {show_configuration, 0}},
        {"config apply", {apply_configuration, 1}},
        {"config check", {check_configuration_file, 1}},
        {"config diff", {diff_configuration, 1}},
        {"config settle", {settle_change, 2}},
        {"preset list", {list_presets, 0}},
        {"preset use", {use_preset, 1}},
        {"domain list", {list_domains, 0}},
        {"domain out", {withdraw_domain, 1}},
        {"domain in", {restore_domain, 1}},
        {"status", {show_status, 0}},
        {"upstreams", {show_upstreams, 0}},
        {"flows", {show_flows, 0}},
        {"audit", {show_audit, 0}},
        {"audit verify", {verify_audit, 0}},
        {"story flow", {show_flow_timeline, 2, true}},
        {"story policy", {show_policy_timeline, 2, true}}};
    return table;
}

} // namespace

cli_exit run_command(
    const cli_settings& settings, std::ostream& out, std::ostream& errors)
{
    const auto& words = settings.words;
    const auto& table = command_table();
    // Prefers the longest matching name: "audit verify" over "audit".
    for (std::size_t length = std::min<std::size_t>(2, words.size());
         length > 0; --length)
    {
        const std::string name =
            length == 2 ? words[0] + " " + words[1] : words[0];
        const auto found = table.find(name);
        if (found == table.end())
        {
            continue;
        }
        const std::vector<std::string> arguments(
            words.begin() + static_cast<std::ptrdiff_t>(length), words.end());
        const command_entry& entry = found->second;
        const bool has_too_many =
            arguments.size() > entry.argument_count && !entry.is_variadic;
        if (arguments.size() < entry.argument_count || has_too_many)
        {
            errors << "masticslip: '" << name << "' takes "
                   << (entry.is_variadic ? "at least " : "")
                   << entry.argument_count << " argument(s)\n";
            return cli_exit::usage;
        }
        return entry.run({settings, arguments, out, errors});
    }
    errors << "masticslip: unknown command; available commands:\n";
    for (const auto& [name, entry] : table)
    {
        errors << "  " << name << '\n';
    }
    return cli_exit::usage;
}

} // namespace masticslip
