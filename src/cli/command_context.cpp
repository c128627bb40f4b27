#include "command_context.hpp"

namespace masticslip
{

cli_exit to_exit_code(result_code code)
{
    switch (code)
    {
    case result_code::done:
    case result_code::config_accepted:
        return cli_exit::success;
    case result_code::config_invalid:
        return cli_exit::invalid;
    case result_code::config_conflict:
        return cli_exit::conflict;
    case result_code::config_store_unavailable:
        return cli_exit::store_unavailable;
    case result_code::config_undecided:
        return cli_exit::undecided;
    case result_code::config_not_in_force:
        return cli_exit::not_in_force;
    case result_code::config_not_found:
        return cli_exit::not_found;
    case result_code::config_records_lost:
        return cli_exit::records_lost;
    default:
        return cli_exit::failure;
    }
}

cli_exit
report_failure(const command_context& context, const failure_reason& reason)
{
    context.errors << "masticslip: " << to_string(reason.code) << " ("
                   << static_cast<unsigned>(reason.code) << "): " << reason.text
                   << '\n';
    return to_exit_code(reason.code);
}

bool require_store(const command_context& context)
{
    if (context.settings.store.empty())
    {
        context.errors
            << "masticslip: --store (MASTICSLIP_STORE) is required\n";
        return false;
    }
    return true;
}

std::optional<stored_configuration>
read_stored(const command_context& context, cli_exit& exit)
{
    if (!require_store(context))
    {
        exit = cli_exit::usage;
        return std::nullopt;
    }
    failure_reason reason;
    auto result = with_store(
        context, [&](config_store& store) { return store.read(reason); });
    if (!result)
    {
        exit = report_failure(context, reason);
    }
    return result;
}

} // namespace masticslip
