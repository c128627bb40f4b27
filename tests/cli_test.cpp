// The command-line tool against the store stand-in: exit codes, JSON output
// and concurrent operators.

#define BOOST_TEST_MODULE cli
#include "platform/etcd_client.hpp"
#include "platform/masticslip_keys.hpp"
#include "support/store_fixture.hpp"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace
{

using namespace masticslip;
using namespace masticslip::standins;
using namespace masticslip::testing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

/// The same store with two entries and one companion, which have generations 1
/// to 3 in force, and a copy of the store from generation 1.
struct copied_store_fixture : store_fixture
{
    copied_store_fixture()
    {
        this->fleet.start_entry(0);
        this->fleet.start_entry(1);
        this->fleet.start_companion(0);
        this->require_in_force(1);
        this->fleet.copy_store();
        this->change({"preset", "use", "peak"});
        this->require_in_force(2);
        this->change({"domain", "out", "kgl-gas"});
        this->require_in_force(3);
    }

    void change(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--reason", "test"});
        const auto result = this->run(arguments);
        BOOST_REQUIRE_MESSAGE(result.exit_code == 0, result.errors);
    }

    /// Waits until all processes list the generation in their history.
    void require_in_force(generation number)
    {
        const auto remembers = [number](const boost::json::object& report)
        {
            const auto* history = report.if_contains("history");
            return history != nullptr && !history->as_array().empty() &&
                   history->as_array()
                           .back()
                           .at("generation")
                           .to_number<generation>() == number;
        };
        BOOST_REQUIRE(local_fleet::wait_until(
            [&]
            {
                return remembers(this->fleet.entry_status(0)) &&
                       remembers(this->fleet.entry_status(1)) &&
                       remembers(this->fleet.companion_status(0));
            },
            10s));
    }

    /// How many processes the first entry reports with this generation.
    std::size_t members_with(generation number)
    {
        std::size_t result = 0;
        const auto report = this->fleet.entry_status(0);
        for (const auto& member : report.at("members").as_array())
        {
            const auto* value = member.as_object().if_contains("generation");
            const bool has_it =
                value != nullptr && value->to_number<generation>() == number;
            result += has_it ? 1 : 0;
        }
        return result;
    }

    std::vector<std::string> entry_log_lines()
    {
        std::vector<std::string> result;
        for (const char* name : {"/entry-0.log", "/entry-1.log"})
        {
            std::ifstream file(this->fleet.work_folder() + name);
            for (std::string line; std::getline(file, line);)
            {
                result.push_back(line);
            }
        }
        return result;
    }

    /// Change ids by generation, as the store has them.
    std::vector<std::string> change_ids()
    {
        std::vector<std::string> result{""};
        const auto audit =
            boost::json::parse(this->run({"audit", "--json"}).out);
        for (const auto& record : audit.as_array())
        {
            result.emplace_back(record.at("change_id").as_string());
        }
        return result;
    }
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
    {{"audit", "verify"}, 0, "no process answers"},
    {{"audit", "verify"}, 0, "newer records are missing cannot be seen"},
    {{"preset", "use", "none", "--reason", "x"}, 8, "no preset 'none'"},
    {{"domain", "out", "kgl-x", "--reason", "x"}, 8, "no failure domain"},
    {{"domain", "in", "kgl-gas", "--reason", "x"}, 8, "is not withdrawn"},
    {{"preset", "use", "peak"}, 2, "a change needs --reason"},
    {{"preset", "use"}, 2, "takes 1 argument"},
    {{"colour"}, 2, "unknown command"},
    {{"config", "settle", "c-1", "many"}, 2, "not a generation"},
    {{"config", "settle", "c-1", "1"}, 4, "generation 1 is change"},
    {{"config", "settle", "c-1", "9"}, 6, "not written yet"},
    {{"config", "check"}, 2, "takes 1 argument"},
    {{"config", "check", "/nowhere"}, 1, "cannot read /nowhere"},
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
          {"config", "check", store.file, "--json"},
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

BOOST_AUTO_TEST_CASE(a_chain_that_processes_know_in_full_is_intact)
{
    copied_store_fixture store;
    const auto result = store.run({"audit", "verify"});
    BOOST_TEST(result.exit_code == 0);
    BOOST_TEST(result.out == "the chain of 3 records is intact\n");
}

BOOST_AUTO_TEST_CASE(records_that_a_restored_store_lost_are_named)
{
    copied_store_fixture store;
    const auto ids = store.change_ids();
    const std::string who =
        "entry-0, entry-1, " + store.fleet.upstreams()[0].name + "\n";
    store.fleet.restore_store();

    const auto result = store.run({"audit", "verify"});

    BOOST_TEST(result.exit_code == 9);
    BOOST_TEST(
        result.out == "generation 2  " + ids[2] + ": missing, remembered by " +
                          who + "generation 3  " + ids[3] +
                          ": missing, remembered by " + who);
    BOOST_TEST(
        contains(result.errors, "config_records_lost (407)"), result.errors);
}

BOOST_AUTO_TEST_CASE(lost_records_are_named_after_the_chain_has_passed_them)
{
    copied_store_fixture store;
    const auto lost = store.change_ids();
    store.fleet.restore_store();
    store.change({"preset", "use", "maintenance"});
    store.change({"preset", "use", "peak"});
    store.change({"domain", "out", "kgl-gas"});
    const auto ids = store.change_ids();

    const auto result = store.run({"audit", "verify"});

    BOOST_TEST(result.exit_code == 9);
    for (const std::size_t number : {2U, 3U})
    {
        const std::string line = "generation " + std::to_string(number) + "  " +
                                 lost[number] + ": replaced by " + ids[number];
        BOOST_TEST(contains(result.out, line), result.out);
    }
    BOOST_TEST(!contains(result.out, "generation 1 "), result.out);
    BOOST_TEST(!contains(result.out, "generation 4"), result.out);
}

BOOST_AUTO_TEST_CASE(what_silent_processes_had_is_known_from_an_entry)
{
    copied_store_fixture store;
    BOOST_REQUIRE(local_fleet::wait_until(
        [&] { return store.members_with(3) == 3; }, 10s));
    store.fleet.signal_and_wait("companion-0", SIGKILL);
    store.fleet.signal_and_wait("entry-1", SIGKILL);
    store.fleet.restore_store();

    const auto result = store.run({"audit", "verify"});

    BOOST_TEST(result.exit_code == 9);
    BOOST_TEST(
        contains(
            result.out, "generation 3: missing, remembered by entry-1 (as an "
                        "entry heard), " +
                            store.fleet.upstreams()[0].name +
                            " (as an entry heard)\n"),
        result.out);
}

BOOST_AUTO_TEST_CASE(without_processes_lost_records_cannot_be_seen)
{
    copied_store_fixture store;
    for (const char* name : {"entry-0", "entry-1", "companion-0"})
    {
        store.fleet.signal_and_wait(name, SIGKILL);
    }
    store.fleet.restore_store();

    const auto result = store.run({"audit", "verify"});

    BOOST_TEST(result.exit_code == 0);
    BOOST_TEST(contains(result.out, "chain of 1 records is intact"));
    BOOST_TEST(contains(result.out, "no process answers"), result.out);
    BOOST_TEST(contains(result.out, "cannot be seen"), result.out);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entry_process)

BOOST_AUTO_TEST_CASE(the_reason_of_a_refused_document_is_logged)
{
    copied_store_fixture store;
    std::string text = store.fleet.document();
    text.replace(text.find("ordinary"), 8, "ordinarz");
    store.fleet.post_to_store(
        "/v3/kv/put", boost::json::serialize(boost::json::object{
                          {"key", encode_base64(configuration_key)},
                          {"value", encode_base64(text)}}));
    BOOST_TEST(local_fleet::wait_until(
        [&]
        {
            for (const auto& line : store.entry_log_lines())
            {
                if (contains(line, "configuration_refused") &&
                    contains(line, "$.preset_in_force"))
                {
                    return true;
                }
            }
            return false;
        },
        10s));
}

BOOST_AUTO_TEST_CASE(a_failing_watch_is_logged_once)
{
    copied_store_fixture store;
    const auto count = [&store]
    {
        const auto lines = store.entry_log_lines();
        return std::count_if(
            lines.begin(), lines.end(),
            [](const std::string& line)
            { return contains(line, "store_watch_failed"); });
    };
    BOOST_TEST(count() == 0);
    store.fleet.set_store_fault("no_watch");
    // Both entries watch.
    BOOST_REQUIRE(local_fleet::wait_until([&] { return count() >= 2; }, 10s));
    std::this_thread::sleep_for(1s);
    BOOST_TEST(count() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
