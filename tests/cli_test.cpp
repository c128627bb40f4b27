// The command-line tool against the store stand-in: exit codes, JSON output
// and concurrent operators.

#define BOOST_TEST_MODULE cli
#include "fleet/local_fleet.hpp"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

namespace
{

using namespace masticslip;
using namespace masticslip::standins;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

std::string program_folder()
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    return std::filesystem::absolute(suite.argv[0]).parent_path().string();
}

/// A store that holds the Kigali configuration, with no other process running.
struct store_fixture
{
    store_fixture() : fleet(kigali_shape(), program_folder())
    {
        this->fleet.start_store();
        this->file = this->fleet.work_folder() + "/document.json";
        std::ofstream(this->file) << this->fleet.document();
        const bool applied = local_fleet::wait_until(
            [this]
            {
                return this->run({"config", "apply", this->file, "--reason",
                                  "start"})
                           .exit_code == 0;
            },
            10s);
        BOOST_REQUIRE(applied);
    }

    program_result run(std::vector<std::string> arguments)
    {
        return this->fleet.run_cli(std::move(arguments));
    }

    local_fleet fleet;
    std::string file;
};

struct command_case
{
    std::vector<std::string> arguments;
    int exit_code;
    const char* text;
};

std::ostream& operator<<(std::ostream& out, const command_case& item)
{
    for (const auto& word : item.arguments)
    {
        out << word << ' ';
    }
    return out;
}

const command_case command_cases[] = {
    {{"preset", "list"}, 0, "* ordinary"},
    {{"domain", "list"}, 0, "kgl-gas in service"},
    {{"audit"}, 0, "generation 1"},
    {{"audit", "verify"}, 0, "chain of 1 records is intact"},
    {{"preset", "use", "none", "--reason", "x"}, 8, "no preset 'none'"},
    {{"domain", "out", "kgl-x", "--reason", "x"}, 8, "no failure domain"},
    {{"domain", "in", "kgl-gas", "--reason", "x"}, 8, "is not withdrawn"},
    {{"preset", "use", "peak"}, 2, "a change needs --reason"},
    {{"preset", "use"}, 2, "takes 1 argument"},
    {{"colour"}, 2, "unknown command"},
    {{"config", "settle", "c-1", "many"}, 2, "not a generation"},
    {{"config", "settle", "c-1", "1"}, 4, "generation 1 is change"},
    {{"config", "settle", "c-1", "9"}, 6, "not written yet"},
    {{"status"}, 1, "no entry answers"}};

} // namespace

BOOST_AUTO_TEST_SUITE(cli)

BOOST_AUTO_TEST_CASE(commands_have_their_exit_codes_and_messages)
{
    store_fixture store;
    for (const auto& item : command_cases)
    {
        const auto result = store.run(item.arguments);
        BOOST_TEST(
            result.exit_code == item.exit_code,
            item << "exits with " << result.exit_code << ": " << result.errors);
        const std::string& stream =
            item.exit_code == 0 ? result.out : result.errors;
        BOOST_TEST(stream.find(item.text) != std::string::npos, item << stream);
    }
}

BOOST_AUTO_TEST_CASE(an_invalid_document_changes_nothing)
{
    store_fixture store;
    std::string text = store.fleet.document();
    text.replace(text.find("ordinary"), 8, "ordinarz");
    std::ofstream(store.file) << text;
    const auto before = store.run({"config", "show"}).out;

    const auto result =
        store.run({"config", "apply", store.file, "--reason", "x"});

    BOOST_TEST(result.exit_code == 3);
    BOOST_TEST(
        result.errors.find("$.preset_in_force") != std::string::npos,
        result.errors);
    BOOST_TEST(store.run({"config", "show"}).out == before);
}

BOOST_AUTO_TEST_CASE(json_output_is_one_value)
{
    store_fixture store;
    for (const std::vector<std::string>& words :
         {std::vector<std::string>{"preset", "list", "--json"},
          {"domain", "list", "--json"},
          {"audit", "--json"},
          {"config", "show"},
          {"preset", "use", "peak", "--reason", "x", "--json"}})
    {
        const auto result = store.run(words);
        boost::json::error_code error;
        boost::json::parse(result.out, error);
        BOOST_TEST(!error, words[0] << ' ' << words[1] << ": " << result.out);
    }
}

BOOST_AUTO_TEST_CASE(racing_operators_get_exit_codes_that_match_the_audit)
{
    store_fixture store;
    constexpr std::size_t operators = 8;
    std::vector<std::unique_ptr<background_program>> programs;
    for (std::size_t i = 0; i < operators; ++i)
    {
        const char* preset = i % 2 == 0 ? "peak" : "maintenance";
        programs.push_back(store.fleet.start_cli(
            {"preset", "use", preset, "--reason", "race", "--operator",
             "operator-" + std::to_string(i)}));
    }
    std::size_t accepted = 0;
    for (const auto& program : programs)
    {
        program->child.wait();
        const int code = program->child.exit_code();
        BOOST_TEST((code == 0 || code == 4), "exit code " << code);
        accepted += code == 0 ? 1 : 0;
    }

    const auto audit =
        boost::json::parse(store.run({"audit", "--json"}).out).as_array();
    BOOST_TEST(accepted >= 1U);
    BOOST_TEST(audit.size() == accepted + 1);
    BOOST_TEST(store.run({"audit", "verify"}).exit_code == 0);
}

BOOST_AUTO_TEST_CASE(a_store_outage_is_reported_before_anything_is_written)
{
    store_fixture store;
    store.fleet.set_store_fault("down");
    const auto result = store.run({"preset", "use", "peak", "--reason", "x"});
    BOOST_TEST(result.exit_code == 5, result.errors);
}

BOOST_AUTO_TEST_SUITE_END()
