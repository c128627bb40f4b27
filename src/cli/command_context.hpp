#pragma once
/// Context of a command and helpers shared by all commands.

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

/// Settings, arguments and output streams of one command.
struct command_context
{
    const cli_settings& settings;
    std::vector<std::string> arguments;
    std::ostream& out;
    std::ostream& errors;
};

/// Maps the result of a configuration change to an exit code.
cli_exit to_exit_code(result_code code);

/// Prints an error with its result code and returns the exit code.
cli_exit
report_failure(const command_context& context, const failure_reason& reason);

/// Runs one coroutine on the store to completion and returns its result.
/// Precondition: the settings name a store.
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

/// Returns true if the settings name a store; otherwise prints an error.
bool require_store(const command_context& context);

/// Reads the document from the store. On failure, prints an error, sets `exit`
/// and returns nullopt.
std::optional<stored_configuration>
read_stored(const command_context& context, cli_exit& exit);

} // namespace masticslip
