// Checks that the tables in the docs match the code. If MASTICSLIP_WRITE_DOCS
// is set, docs/SETTINGS.md is rewritten before it is compared.

#include "cli_settings.hpp"
#include "daemon_settings.hpp"
#include "masticslip/core/configuration_finding.hpp"
#include "masticslip/core/result_code.hpp"
#include "node/node_flags.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace
{

using namespace masticslip;

const std::string docs_folder = MASTICSLIP_SOURCE_DIR "/docs/";

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string settings_page()
{
    return "# Settings\n\nEach setting is a flag and an environment variable; "
           "the flag wins. All are\nchecked at start, every fault is named at "
           "once, and the exit code is then 2.\n`--help`, `--version` and "
           "(daemon) `--check-settings` end at once. A test keeps\nthis page "
           "equal to the code.\n\n## masticslipd\n\n" +
           make_daemon_settings_table().markdown() +
           "\n## masticslip_node\n\nThe role (`entry` or `companion`) is its "
           "argument. What differs from machine\nto machine comes from the "
           "file that `MASTICSLIP_NODE_FILE` names.\n\n" +
           make_node_settings_table().markdown() + "\n## masticslip\n\n" +
           make_cli_settings_table().markdown();
}

} // namespace

BOOST_AUTO_TEST_SUITE(docs)

BOOST_AUTO_TEST_CASE(settings_page_equals_the_tables)
{
    if (std::getenv("MASTICSLIP_WRITE_DOCS") != nullptr)
    {
        std::ofstream(docs_folder + "SETTINGS.md") << settings_page();
    }
    BOOST_TEST(read_file(docs_folder + "SETTINGS.md") == settings_page());
}

BOOST_AUTO_TEST_CASE(result_code_page_names_every_code)
{
    const std::string page = read_file(docs_folder + "RESULT_CODES.md");
    for (const auto& entry : result_code_table)
    {
        const std::string row =
            "| " + std::to_string(static_cast<unsigned>(entry.code)) + " | `" +
            std::string(entry.name) + "` |";
        BOOST_TEST(page.find(row) != std::string::npos, row);
    }
}

BOOST_AUTO_TEST_CASE(configuration_check_page_names_every_kind)
{
    const std::string page = read_file(docs_folder + "CONFIGURATION_CHECK.md");
    for (std::size_t i = 0; i < finding_kind_count; ++i)
    {
        const std::string row =
            "| `" + std::string(to_string(static_cast<finding_kind>(i))) +
            "` |";
        BOOST_TEST(page.find(row) != std::string::npos, row);
    }
}

BOOST_AUTO_TEST_SUITE_END()
