// `masticslip config check` against the store stand-in and against files.

#include "support/store_fixture.hpp"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;

/// A replacement in the document in force, and what the check says.
struct check_case
{
    const char* text;
    const char* replacement;
    int exit_code;
    const char* output;
};

std::ostream& operator<<(std::ostream& out, const check_case& item)
{
    return out << item.replacement << ' ';
}

const check_case check_cases[] = {
    {"", "", 0, "0 errors, 0 warnings, 0 changes"},
    {"\"preset_in_force\":\"ordinary\"", "\"preset_in_force\":\"peak\"", 0,
     "change: changed: $.preset_in_force: preset in force: ordinary -> peak"},
    {"\"preset_in_force\":\"ordinary\"", "\"preset_in_force\":\"peak\"", 0,
     "open flows: CoAP services: they stay with their upstreams"},
    {"\"max_in_flight\":8", "\"max_flows\":8", 0,
     "warning: without_effect: $.presets[1].limits.max_flows"},
    {"\"schema\":1", "\"schema\":2", 3,
     "proposal.json:1:2: error: out_of_range: $.schema: must be"},
    {"\"schema\":1", "\"schema\":2", 3, "1 error, 0 warnings, 0 changes"}};

/// The document of the fleet with a replacement, as a file.
std::string
write_proposal(const store_fixture& store, const check_case& example)
{
    std::string text = store.fleet.document();
    const std::string original = example.text;
    text.replace(text.find(original), original.size(), example.replacement);
    const std::string path = store.fleet.work_folder() + "/proposal.json";
    std::ofstream(path) << text;
    return path;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_check)

BOOST_AUTO_TEST_CASE(a_proposal_is_checked_against_the_store_or_a_file)
{
    store_fixture store;
    for (const auto& item : check_cases)
    {
        const std::string path = write_proposal(store, item);
        const auto by_store = store.run({"config", "check", path});
        const auto by_file =
            store.run({"config", "check", path, "--against", store.file});
        BOOST_TEST(
            by_store.exit_code == item.exit_code, item << by_store.errors);
        BOOST_TEST(contains(by_store.out, item.output), item << by_store.out);
        BOOST_TEST(by_file.exit_code == item.exit_code, item << by_file.errors);
        BOOST_TEST(by_file.out == by_store.out, item << by_file.out);
    }
    BOOST_TEST(contains(store.run({"audit"}).out, "generation 1"));
    BOOST_TEST(!contains(store.run({"audit"}).out, "generation 2"));
}

BOOST_AUTO_TEST_CASE(a_check_without_a_store_needs_a_file_to_compare_with)
{
    store_fixture store;
    const std::string path = write_proposal(store, check_cases[3]);
    store.fleet.set_store_fault("down");

    const auto by_store = store.run({"config", "check", path});
    const auto by_file =
        store.run({"config", "check", path, "--against", store.file});
    const auto by_missing_file =
        store.run({"config", "check", path, "--against", "/nowhere"});

    BOOST_TEST(by_store.exit_code == 5, by_store.errors);
    BOOST_TEST(
        contains(by_store.errors, "config_store_unavailable (404)"),
        by_store.errors);
    BOOST_TEST(contains(by_store.out, "without_effect"), by_store.out);
    BOOST_TEST(by_file.exit_code == 0, by_file.errors);
    BOOST_TEST(by_missing_file.exit_code == 1);
    BOOST_TEST(
        contains(by_missing_file.errors, "cannot read /nowhere"),
        by_missing_file.errors);
}

BOOST_AUTO_TEST_CASE(a_check_prints_its_findings_as_json)
{
    store_fixture store;
    const std::string path = write_proposal(store, check_cases[1]);
    const auto changes = store.run({"config", "check", path, "--json"});
    const auto found = boost::json::parse(changes.out).as_array();
    BOOST_REQUIRE(found.size() == 1U);
    const auto& item = found[0].as_object();
    BOOST_TEST(item.at("severity").as_string() == "change");
    BOOST_TEST(item.at("kind").as_string() == "changed");
    BOOST_TEST(item.at("path").as_string() == "$.preset_in_force");
    BOOST_TEST(item.at("line").to_number<int>() == 1);
    BOOST_TEST(item.at("column").to_number<int>() > 1);
    BOOST_TEST(!item.at("open_flows").as_string().empty());

    write_proposal(store, check_cases[4]);
    const auto errors = store.run({"config", "check", path, "--json"});
    BOOST_TEST(errors.exit_code == 3);
    BOOST_TEST(boost::json::parse(errors.out).as_array().size() == 1U);
    BOOST_TEST(contains(errors.errors, "config_invalid (401)"), errors.errors);
}

BOOST_AUTO_TEST_SUITE_END()
