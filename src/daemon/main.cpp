// masticslipd: the masticslip daemon. Runs as an entry or as a companion.

#include "companion_process.hpp"
#include "entry_process.hpp"
#include "masticslip_version.hpp"

#include <cstdlib>
#include <iostream>

#include <sodium.h>

namespace
{

std::unique_ptr<masticslip::process> make_process(
    boost::asio::io_context& context,
    const masticslip::daemon_settings& settings)
{
    if (settings.is_entry)
    {
        return std::make_unique<masticslip::entry_process>(context, settings);
    }
    return std::make_unique<masticslip::companion_process>(context, settings);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> faults;
    const auto settings = masticslip::read_daemon_settings(argc, argv, faults);
    if (!settings)
    {
        for (const auto& fault : faults)
        {
            std::cerr << "masticslipd: " << fault << '\n';
        }
        return masticslip::exit_usage;
    }
    if (settings->check_only)
    {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    if (sodium_init() < 0)
    {
        std::cerr << "masticslipd: cannot initialize libsodium\n";
        return EXIT_FAILURE;
    }
    masticslip::initialize_log(settings->level);
    boost::asio::io_context context(1);
    const auto process = make_process(context, *settings);
    std::string reason;
    if (!process->start(reason))
    {
        std::cerr << "masticslipd: " << reason << '\n';
        return EXIT_FAILURE;
    }
    masticslip::log_line(masticslip::log_level::info, "started")
        .field("process", std::string_view(settings->name))
        .field("version", masticslip::version_text);
    context.run();
    return EXIT_SUCCESS;
}
