// masticslip: the operators' command line.

#include "commands.hpp"

#include <iostream>

#include <sodium.h>

int main(int argc, char** argv)
{
    std::vector<std::string> faults;
    const auto settings = masticslip::read_cli_settings(argc, argv, faults);
    if (!settings)
    {
        for (const auto& fault : faults)
        {
            std::cerr << "masticslip: " << fault << '\n';
        }
        return masticslip::exit_usage;
    }
    if (sodium_init() < 0)
    {
        std::cerr << "masticslip: cannot initialize libsodium\n";
        return EXIT_FAILURE;
    }
    return static_cast<int>(
        masticslip::run_command(*settings, std::cout, std::cerr));
}
