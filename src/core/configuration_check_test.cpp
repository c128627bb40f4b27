// The check of a configuration: each rule has a case that fails without it.

#include "masticslip/core/configuration_check.hpp"
#include "support/configuration_samples.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
namespace data = boost::unit_test::data;

/// A replacement in the clean document and the only finding that it causes.
struct finding_case
{
    const char* text;
    const char* replacement;
    finding_kind kind;
    const char* path;
    text_place place;
};

std::ostream& operator<<(std::ostream& out, const finding_case& item)
{
    return out << to_string(item.kind) << ' ' << item.path << " by "
               << item.replacement;
}

const finding_case error_cases[] = {
    {"\"schema\": 1", "\"schema\": ", finding_kind::not_json, "$", {1, 12}},
    {"\"preset_in_force\": \"ordinary\"}\n",
     "\"preset_in_force\": \"ordinary\"",
     finding_kind::not_json,
     "$",
     {17, 31}},
    {"\"schema\": 1",
     "\"schema\": \"1\"",
     finding_kind::wrong_type,
     "$.schema",
     {1, 2}},
    {"\"kind\": \"safe\"",
     "\"kind\": 7",
     finding_kind::wrong_type,
     "$.routes[0].kind",
     {8, 4}},
    {"[\"north\", \"south\"]",
     "[\"north\", 7]",
     finding_kind::wrong_type,
     "$.failure_domains[1]",
     {12, 31}},
    {"{\"north\": 2}",
     "[]",
     finding_kind::wrong_type,
     "$.presets[0].weights",
     {15, 24}},
    {", \"service\": \"pages\"",
     "",
     finding_kind::missing_key,
     "$.routes[0].service",
     {7, 3}},
    {",\n \"preset_in_force\": \"ordinary\"",
     "",
     finding_kind::missing_key,
     "$.preset_in_force",
     {1, 1}},
    {"\"priority\": 2",
     "\"prio\": 2",
     finding_kind::unknown_key,
     "$.routes[1].prio",
     {10, 45}},
    {"\"time_limit_ms\": 4000",
     "\"time_limit_ms\": -1",
     finding_kind::out_of_range,
     "$.routes[1].time_limit_ms",
     {10, 22}},
    {"\"time_limit_ms\": 4000",
     "\"time_limit_ms\": 86400001",
     finding_kind::out_of_range,
     "$.routes[1].time_limit_ms",
     {10, 22}},
    {"\"cold_flows_per_second\": 20",
     "\"cold_flows_per_second\": -1",
     finding_kind::out_of_range,
     "$.services[0].cold_flows_per_second",
     {3, 45}},
    {"\"max_in_flight\": 8",
     "\"max_in_flight\": 1001",
     finding_kind::out_of_range,
     "$.presets[1].limits.max_in_flight",
     {16, 31}},
    {"\"kind\": \"safe\"",
     "\"kind\": \"sure\"",
     finding_kind::invalid_value,
     "$.routes[0].kind",
     {8, 4}},
    {"198.18.0.2:8080",
     "198.18.0.2",
     finding_kind::invalid_value,
     "$.routes[1].address",
     {9, 20}},
    {"\"schema\": 1",
     "\"schema\": 1, \"schema\": 1",
     finding_kind::duplicate,
     "$.schema",
     {1, 15}},
    {"\"max_in_flight\": 8",
     "\"max_in_flight\": 8, \"max_in_flight\": 9",
     finding_kind::duplicate,
     "$.presets[1].limits.max_in_flight",
     {16, 51}},
    {"198.18.0.2:8080",
     "198.18.0.1:8080",
     finding_kind::duplicate,
     "$.routes[1].address",
     {9, 20}},
    {"[\"north\", \"south\"]",
     "[\"north\", \"south\", \"north\"]",
     finding_kind::duplicate,
     "$.failure_domains[2]",
     {12, 40}},
    {"\"name\": \"peak\"",
     "\"name\": \"ordinary\"",
     finding_kind::duplicate,
     "$.presets[1].name",
     {16, 4}},
    {"\"service\": \"files\"",
     "\"service\": \"papers\"",
     finding_kind::unknown_name,
     "$.routes[1].service",
     {9, 50}},
    {"\"service\": \"files\"",
     "\"service\": \"boards\"",
     finding_kind::unknown_name,
     "$.routes[1].service",
     {9, 50}},
    {"[\"south\"]",
     "[\"west\"]",
     finding_kind::unknown_name,
     "$.withdrawn_domains[0]",
     {13, 24}},
    {"{\"north\": 2}",
     "{\"west\": 2}",
     finding_kind::unknown_name,
     "$.presets[0].weights.west",
     {15, 36}},
    {"\"preset_in_force\": \"ordinary\"",
     "\"preset_in_force\": \"calm\"",
     finding_kind::unknown_name,
     "$.preset_in_force",
     {17, 2}},
    {"\"name\": \"boards\"",
     "\"name\": \"\"",
     finding_kind::invalid_value,
     "$.services[2].name",
     {5, 4}},
    {"\"name\": \"peak\"",
     "\"name\": \"\"",
     finding_kind::invalid_value,
     "$.presets[1].name",
     {16, 4}},
    // Its value is not reported as an invalid address, too.
    {"\"address\": \"198.18.0.2:8080\", ",
     "",
     finding_kind::missing_key,
     "$.routes[1].address",
     {9, 3}}};

const finding_case warning_cases[] = {
    {"\"service\": \"files\"",
     "\"service\": \"pages\"",
     finding_kind::never_used,
     "$.services[1]",
     {4, 3}},
    {"\"address\": \"10.0.0.1:5683\"}",
     "\"address\": \"10.0.0.1:5683\",\n   \"cold_flows_per_second\": 3}",
     finding_kind::without_effect,
     "$.services[2].cold_flows_per_second",
     {6, 4}},
    {"\"cold_flows_per_second\": 20",
     "\"max_flows\": 9",
     finding_kind::without_effect,
     "$.services[0].max_flows",
     {3, 45}},
    {"\"max_in_flight\": 8",
     "\"max_flows\": 9",
     finding_kind::without_effect,
     "$.presets[1].limits.max_flows",
     {16, 31}},
    {"\"target_latency_ms\": 250",
     "\"target_latency_ms\": 1201",
     finding_kind::limits_contradict,
     "$.routes[0].time_limit_ms",
     {8, 20}},
    {"\"flow_idle_limit_ms\": 12000",
     "\"flow_idle_limit_ms\": 3999",
     finding_kind::limits_contradict,
     "$.flow_idle_limit_ms",
     {11, 2}},
    {"\"cold_flows_per_second\": 20",
     "\"cold_flows_per_second\": 0.5",
     finding_kind::limits_contradict,
     "$.services[0].cold_flows_per_second",
     {3, 45}},
    {"{\"north\": 2}",
     "{\"north\": 0}",
     finding_kind::limits_contradict,
     "$.presets[0].weights",
     {15, 24}},
    {"\"cold_flows_per_second\": 20",
     "\"cold_flows_per_second\": 0",
     finding_kind::no_limit,
     "$.services[0].cold_flows_per_second",
     {3, 45}},
    {"[\"south\"]",
     "[\"south\", \"north\"]",
     finding_kind::no_new_flows,
     "$.withdrawn_domains",
     {13, 2}},
    {"[\"south\"]",
     "[\"south\", \"south\"]",
     finding_kind::duplicate,
     "$.withdrawn_domains[1]",
     {13, 33}}};

/// Checks that the document has exactly this finding.
void require_only(const finding_case& example, finding_severity severity)
{
    const auto findings =
        check_document(replace(example.text, example.replacement), nullptr);
    BOOST_REQUIRE_MESSAGE(findings.size() == 1, list(findings));
    const auto& found = findings.front();
    BOOST_TEST((found.severity == severity), list(findings));
    BOOST_TEST((found.kind == example.kind), list(findings));
    BOOST_TEST(found.path == example.path);
    BOOST_REQUIRE(found.place);
    BOOST_TEST((*found.place == example.place), list(findings));
    BOOST_TEST(!found.text.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_checks)

BOOST_AUTO_TEST_CASE(a_clean_document_has_no_findings)
{
    const configuration in_force = parse(clean_document);
    const auto findings = check_document(clean_document, &in_force);
    BOOST_TEST(findings.empty(), list(findings));
}

BOOST_DATA_TEST_CASE(
    an_error_is_found_at_its_place, data::make(error_cases), example)
{
    require_only(example, finding_severity::error);
}

BOOST_DATA_TEST_CASE(
    a_contradiction_is_found_at_its_place, data::make(warning_cases), example)
{
    require_only(example, finding_severity::warning);
}

/// Guards against a check that accepts what the daemon rejects, or the reverse.
BOOST_DATA_TEST_CASE(
    the_daemon_rejects_exactly_the_errors, data::make(error_cases), example)
{
    const std::string text = replace(example.text, example.replacement);
    failure_reason reason;
    BOOST_TEST(!parse_configuration(text, reason));
    BOOST_TEST((reason.code == result_code::config_invalid));
    const auto findings = check_document(text, nullptr);
    BOOST_TEST(
        reason.text == findings.front().path + ": " + findings.front().text);
}

BOOST_DATA_TEST_CASE(
    the_daemon_accepts_what_is_only_warned_of,
    data::make(warning_cases),
    example)
{
    parse(replace(example.text, example.replacement));
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once)
{
    std::string text = replace("\"schema\": 1", "\"schema\": 2");
    text.replace(text.find("\"safe\""), 6, "\"sure\"");
    text.replace(text.find("\"priority\""), 10, "\"prio\"");
    const auto findings = check_document(text, nullptr);
    BOOST_REQUIRE_MESSAGE(findings.size() == 3, list(findings));
    BOOST_TEST(has_errors(findings));
}

BOOST_AUTO_TEST_CASE(all_broken_references_are_reported_at_once)
{
    std::string text = replace("[\"south\"]", "[\"west\"]");
    text.replace(text.find("\"service\": \"files\""), 18, "\"service\": \"x\"");
    text.replace(text.rfind("\"ordinary\""), 10, "\"calm\"");
    const auto findings = check_document(text, nullptr);
    BOOST_TEST(findings.size() == 3U, list(findings));
}

BOOST_AUTO_TEST_CASE(an_idle_limit_without_routes_has_no_effect)
{
    configuration value = parse(clean_document);
    value.routes.clear();
    value.services.erase(value.services.begin(), value.services.begin() + 2);
    const auto findings = find_contradictions(value);
    BOOST_REQUIRE_MESSAGE(findings.size() == 1, list(findings));
    BOOST_TEST((findings.front().kind == finding_kind::without_effect));
    BOOST_TEST(findings.front().path == "$.flow_idle_limit_ms");
}

BOOST_AUTO_TEST_CASE(services_with_one_name_are_an_error)
{
    const auto findings = check_document(
        replace("\"name\": \"boards\"", "\"name\": \"pages\""), nullptr);
    BOOST_REQUIRE_MESSAGE(findings.size() == 1, list(findings));
    BOOST_TEST((findings.front().kind == finding_kind::duplicate));
    BOOST_TEST(findings.front().path == "$.services[2].name");
}

/// Guards against unbounded work for a document that consists of errors.
BOOST_AUTO_TEST_CASE(the_number_of_errors_is_bounded)
{
    std::string text = "{";
    for (int i = 0; i < 1'000; ++i)
    {
        text += (i == 0 ? "\"k" : ",\"k") + std::to_string(i) + "\":0";
    }
    BOOST_TEST(check_document(text + "}", nullptr).size() == 100U);
}

BOOST_AUTO_TEST_CASE(a_document_that_is_too_large_is_an_error)
{
    const std::string text(max_document_size + 1, ' ');
    const auto findings = check_document(text, nullptr);
    BOOST_REQUIRE_MESSAGE(findings.size() == 1, list(findings));
    BOOST_TEST((findings.front().kind == finding_kind::too_large));
}

BOOST_AUTO_TEST_CASE(every_kind_has_its_own_name)
{
    std::vector<std::string_view> names;
    for (std::size_t i = 0; i < finding_kind_count; ++i)
    {
        names.push_back(to_string(static_cast<finding_kind>(i)));
    }
    std::sort(names.begin(), names.end());
    BOOST_TEST(!names.front().empty());
    BOOST_TEST((std::adjacent_find(names.begin(), names.end()) == names.end()));
}

BOOST_AUTO_TEST_SUITE_END()
