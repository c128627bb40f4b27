#pragma once
/// What a verb of the command line works with.

#include "cli_settings.hpp"
#include "commands.hpp"
#include "masticslip/core/failure_reason.hpp"
#include "platform/config_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace masticslip
{

/// Arguments and streams of one command.
struct command_context
{
    const cli_settings& settings;
    std::vector<std::string> arguments;
    std::ostream& out;
    std::ostream& errors;
};

/// Returns the exit code for a result of a change.
cli_exit to_exit(result_code code);

/// Writes an error line with its code and returns its exit code.
cli_exit
report_failure(const command_context& context, const failure_reason& reason);

/// Runs one coroutine on the store to its end. Precondition: the settings
/// name a store.
template <class Function>
auto with_store(const command_context& context, Function function)
{
    boost::asio::io_context loop;
    etcd_client client(context.settings.store, context.settings.timeout);
    config_store store(client);
    typename decltype(function(store))::value_type result{};
    boost::asio::co_spawn(
        loop,
        [&]() -> boost::asio::awaitable<void>
        { result = co_await function(store); },
        boost::asio::detached);
    loop.run();
    return result;
}

/// True if the settings name a store; else writes what is missing.
bool require_store(const command_context& context);

/// Reads the document from the store; reports failures.
std::optional<stored_configuration>
read_stored(const command_context& context, cli_exit& exit);

} // namespace masticslip
