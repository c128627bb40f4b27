#include "change_commands.hpp"

#include "fleet.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>

namespace masticslip
{

namespace json = boost::json;

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds poll_interval = 100ms;

std::string make_change_id()
{
    std::random_device device;
    std::string id = "c-";
    constexpr int digits = 16;
    for (int i = 0; i < digits; ++i)
    {
        id += "0123456789abcdef"[device() % 16];
    }
    return id;
}

change_request make_request(const cli_settings& settings)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {
        make_change_id(), settings.operator_name, settings.reason,
        std::chrono::duration_cast<std::chrono::microseconds>(now).count()};
}

bool check_change_settings(const command_context& context)
{
    if (!require_store(context))
    {
        return false;
    }
    if (context.settings.reason.empty())
    {
        context.errors << "masticslip: a change needs --reason\n";
        return false;
    }
    return true;
}

/// Polls the entries until the generation is in force at all instances that
/// have not left. Returns false if the timeout expires first.
bool wait_until_in_force(const command_context& context, generation number)
{
    fleet instances(context.settings.entries);
    const auto deadline =
        std::chrono::steady_clock::now() + context.settings.timeout;
    std::size_t last_shown = 0;
    while (std::chrono::steady_clock::now() < deadline)
    {
        if (instances.refresh())
        {
            const auto behind = instances.members_behind(number);
            if (behind.empty())
            {
                return true;
            }
            if (behind.size() != last_shown)
            {
                last_shown = behind.size();
                context.errors << "waiting: generation " << number
                               << " is not in force at " << behind.size()
                               << " of " << instances.members().size()
                               << " instances\n";
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
    for (const auto& member : instances.members_behind(number))
    {
        context.errors << "not in force: " << member.name << " (" << member.id
                       << ") has generation " << member.number << '\n';
    }
    return false;
}

cli_exit finish_change(
    const command_context& context,
    const change_request& request,
    const change_result& result)
{
    if (result.code == result_code::config_undecided)
    {
        context.errors << "masticslip: config_undecided (403): " << result.text
                       << "\nQuery the outcome with: masticslip config settle "
                       << request.id << ' ' << result.number << '\n';
        return cli_exit::undecided;
    }
    if (result.code != result_code::config_accepted)
    {
        return report_failure(context, {result.code, result.text});
    }
    fleet instances(context.settings.entries);
    const std::size_t receiver_count =
        instances.post_configuration(result.document);
    const bool in_force = context.settings.wait
                              ? wait_until_in_force(context, result.number)
                              : true;
    if (context.settings.json)
    {
        context.out << json::serialize(json::object{
                           {"generation", result.number},
                           {"change_id", request.id},
                           {"handed_to_entries", receiver_count},
                           {"in_force_everywhere",
                            context.settings.wait && in_force}})
                    << '\n';
    }
    else
    {
        context.out << "accepted: generation " << result.number << ", change "
                    << request.id << ", received by " << receiver_count
                    << " entries\n";
        if (context.settings.wait && in_force)
        {
            context.out << "in force everywhere\n";
        }
    }
    if (!in_force)
    {
        return report_failure(
            context,
            {result_code::config_not_in_force,
             "accepted, but not in force everywhere before the timeout"});
    }
    return cli_exit::success;
}

cli_exit change_configuration(
    const command_context& context, const configuration_edit& edit)
{
    if (!check_change_settings(context))
    {
        return cli_exit::usage;
    }
    const change_request request = make_request(context.settings);
    const change_result result = with_store(
        context,
        [&](config_store& store) { return store.change(request, edit); });
    return finish_change(context, request, result);
}

/// Returns an edit that fails with `config_not_found` if the store is empty.
configuration_edit require_configuration(configuration_edit edit)
{
    return
        [edit = std::move(edit)](configuration& value, failure_reason& reason)
    {
        if (value.number == 0)
        {
            reason = {
                result_code::config_not_found,
                "no configuration in the store; apply one first"};
            return false;
        }
        return edit(value, reason);
    };
}

} // namespace

cli_exit apply_configuration(const command_context& context)
{
    const std::string& path = context.arguments[0];
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        context.errors << "masticslip: cannot read " << path << '\n';
        return cli_exit::failure;
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    failure_reason reason;
    const auto parsed = parse_configuration(text, reason);
    if (!parsed)
    {
        reason.text = path + ": " + reason.text;
        return report_failure(context, reason);
    }
    return change_configuration(
        context,
        [&parsed](configuration& value, failure_reason&)
        {
            const generation number = value.number;
            value = *parsed;
            value.number = number;
            return true;
        });
}

cli_exit use_preset(const command_context& context)
{
    const std::string& name = context.arguments[0];
    return change_configuration(
        context, require_configuration(
                     [&name](configuration& value, failure_reason& reason)
                     {
                         const bool known = std::any_of(
                             value.presets.begin(), value.presets.end(),
                             [&](const preset& item)
                             { return item.name == name; });
                         if (!known)
                         {
                             reason = {
                                 result_code::config_not_found,
                                 "no preset '" + name + "'"};
                             return false;
                         }
                         value.preset_in_force = name;
                         return true;
                     }));
}

cli_exit withdraw_domain(const command_context& context)
{
    const std::string& name = context.arguments[0];
    return change_configuration(
        context, require_configuration(
                     [&name](configuration& value, failure_reason& reason)
                     {
                         const auto& domains = value.failure_domains;
                         const bool known =
                             std::find(domains.begin(), domains.end(), name) !=
                             domains.end();
                         if (!known)
                         {
                             reason = {
                                 result_code::config_not_found,
                                 "no failure domain '" + name + "'"};
                             return false;
                         }
                         if (!value.is_withdrawn(name))
                         {
                             value.withdrawn_domains.push_back(name);
                         }
                         return true;
                     }));
}

cli_exit restore_domain(const command_context& context)
{
    const std::string& name = context.arguments[0];
    return change_configuration(
        context,
        require_configuration(
            [&name](configuration& value, failure_reason& reason)
            {
                if (std::erase(value.withdrawn_domains, name) == 0)
                {
                    reason = {
                        result_code::config_not_found,
                        "failure domain '" + name + "' is not withdrawn"};
                    return false;
                }
                return true;
            }));
}

cli_exit settle_change(const command_context& context)
{
    if (!require_store(context))
    {
        return cli_exit::usage;
    }
    const std::string& text = context.arguments[1];
    generation number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        context.errors << "masticslip: '" << text << "' is not a generation\n";
        return cli_exit::usage;
    }
    const change_result result = with_store(
        context, [&](config_store& store)
        { return store.find_outcome(context.arguments[0], number); });
    if (result.code != result_code::config_accepted)
    {
        return report_failure(context, {result.code, result.text});
    }
    context.out << "accepted: generation " << number << '\n';
    return cli_exit::success;
}

} // namespace masticslip
