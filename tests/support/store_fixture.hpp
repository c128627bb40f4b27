#pragma once
/// A store with a configuration for tests of the command line.

#include "fleet/local_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace masticslip::testing
{

inline std::string program_folder()
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    return std::filesystem::absolute(suite.argv[0]).parent_path().string();
}

/// A store that holds the Kigali configuration, with no other process running.
struct store_fixture
{
    store_fixture() : fleet(standins::kigali_shape(), program_folder())
    {
        this->fleet.start_store();
        this->file = this->fleet.work_folder() + "/document.json";
        std::ofstream(this->file) << this->fleet.document();
        const bool applied = standins::local_fleet::wait_until(
            [this]
            {
                return this->run({"config", "apply", this->file, "--reason",
                                  "start"})
                           .exit_code == 0;
            },
            std::chrono::seconds(10));
        BOOST_REQUIRE(applied);
    }

    standins::program_result run(std::vector<std::string> arguments)
    {
        return this->fleet.run_cli(std::move(arguments));
    }

    standins::local_fleet fleet;
    std::string file;
};

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace masticslip::testing
