// Parsing and execution of fault-injection scenario files.

#include "scenario.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::standin;

namespace
{

struct invalid_scenario
{
    const char* text;
    const char* reason;
};

std::ostream& operator<<(std::ostream& stream, const invalid_scenario& value)
{
    return stream << value.text;
}

const std::vector<invalid_scenario> invalid_scenarios{
    {"[", "not JSON"},
    {"[]", "$: must be an object"},
    {R"({"lod": 1})", "$.lod: unknown key"},
    {R"({"load": "much"})", "$.load: must be a number"},
    {R"({"shape": {"entries": 0}})", "$.shape.entries: must be a number"},
    {R"({"faults": [{"kind": "flood"}]})", "$.faults[0].kind: must be one of"},
    {R"({"faults": [{"kind": "kill_entry", "index": 9}]})",
     "kill_entry names number 9 of 4"}};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_scenario)

BOOST_DATA_TEST_CASE(
    reports_the_location_and_cause_of_an_error,
    boost::unit_test::data::make(invalid_scenarios),
    item)
{
    failure_reason reason;
    BOOST_TEST(!parse_scenario(item.text, reason));
    BOOST_TEST(reason.text.find(item.reason) != std::string::npos, reason.text);
}

BOOST_AUTO_TEST_CASE(runs_a_parsed_scenario)
{
    failure_reason reason;
    const auto item = parse_scenario(
        R"({"seconds": 5, "seeds": [4], "load": 0.2,
            "shape": {"entries": 2, "meetups": 3},
            "faults": [{"at_ms": 1000, "kind": "kill_entry", "index": 1}]})",
        reason);
    BOOST_REQUIRE_MESSAGE(item.has_value(), reason.text);
    const auto result = play_scenario(*item, item->seeds.at(0));
    BOOST_TEST(result.violations.empty());
    BOOST_TEST(result.classes.size() == 3U);
    BOOST_TEST(format_result(result).find("board") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
