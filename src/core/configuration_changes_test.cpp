// Differences between two configurations and their effect on open flows.

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

/// A replacement in the clean document and one of the changes that it causes.
struct change_case
{
    const char* text;
    const char* replacement;
    finding_kind kind;
    const char* path;
    const char* difference;
    const char* effect;
};

std::ostream& operator<<(std::ostream& out, const change_case& item)
{
    return out << to_string(item.kind) << ' ' << item.path << " by "
               << item.replacement;
}

const change_case change_cases[] = {
    {"{\"name\": \"read\", \"address\": \"198.18.0.1:8080\", \"service\": "
     "\"pages\",\n   \"kind\": \"safe\", \"time_limit_ms\": 1200, "
     "\"target_latency_ms\": 250},\n",
     "", finding_kind::removed, "$.routes",
     "route 'read' (198.18.0.1:8080) is removed",
     "each is reset at its next packet"},
    {"198.18.0.1:8080", "198.18.0.3:8080", finding_kind::removed, "$.routes",
     "route 'read' (198.18.0.1:8080) is removed",
     "each is reset at its next packet"},
    {"198.18.0.1:8080", "198.18.0.3:8080", finding_kind::added, "$.routes[0]",
     "route 'read' (198.18.0.3:8080) is added", "none"},
    {"\"name\": \"read\"", "\"name\": \"look\"", finding_kind::changed,
     "$.routes[0].name", "'read' -> 'look'", "none"},
    {"\"service\": \"files\"", "\"service\": \"pages\"", finding_kind::changed,
     "$.routes[1].service", "service: files -> pages",
     "they stay with their upstreams"},
    {"\"kind\": \"safe\"", "\"kind\": \"unsafe\"", finding_kind::changed,
     "$.routes[0].kind", "safe -> unsafe", "are kept until"},
    {"\"kind\": \"upload\"", "\"kind\": \"download\"", finding_kind::changed,
     "$.routes[1].kind", "upload -> download", "looked up elsewhere"},
    {"\"time_limit_ms\": 4000", "\"time_limit_ms\": 5000",
     finding_kind::changed, "$.routes[1].time_limit_ms", "4000 ms -> 5000 ms",
     "none: it limits how long an opening waits"},
    {"\"target_latency_ms\": 250", "\"target_latency_ms\": 0",
     finding_kind::changed, "$.routes[0].target_latency_ms",
     "250 ms -> not stated", "none: it orders"},
    {"\"priority\": 2", "\"priority\": 1", finding_kind::changed,
     "$.routes[1].priority", "2 -> 1", "none: it orders"},
    {"\"flow_idle_limit_ms\": 12000", "\"flow_idle_limit_ms\": 9000",
     finding_kind::changed, "$.flow_idle_limit_ms", "12000 ms -> 9000 ms",
     "routes: those without a packet"},
    {"\"cold_flows_per_second\": 20", "\"cold_flows_per_second\": 2.5",
     finding_kind::changed, "$.services[0].cold_flows_per_second", "20 -> 2.5",
     "none: it limits new flows"},
    {"\"cold_flows_per_second\": 20",
     "\"cold_flows_per_second\": 20, \"max_flows\": 5", finding_kind::changed,
     "$.services[0].max_flows", "0 -> 5", "no process applies it"},
    {"10.0.0.1:5683", "10.0.0.2:5683", finding_kind::changed,
     "$.services[2].address", "10.0.0.1:5683 -> 10.0.0.2:5683",
     "close the former address"},
    {"\"address\": \"10.0.0.1:5683\"",
     "\"address\": \"10.0.0.1:5683\", \"protocol\": \"datagram\"",
     finding_kind::changed, "$.services[2].protocol", "coap -> datagram",
     "new protocol at once"},
    {"\"name\": \"boards\"", "\"name\": \"plans\"", finding_kind::removed,
     "$.services", "service 'boards' is removed",
     "companions drop its packets"},
    {"\"name\": \"boards\"", "\"name\": \"plans\"", finding_kind::added,
     "$.services[2]", "service 'plans' is added", "none"},
    {"[\"north\", \"south\"]", "[\"north\", \"south\", \"west\"]",
     finding_kind::added, "$.failure_domains[2]", "'west' is added", "none"},
    {"\"withdrawn_domains\": [\"south\"]",
     "\"withdrawn_domains\": [\"south\", \"north\"]", finding_kind::added,
     "$.withdrawn_domains[1]", "'north' is added", "given up"},
    {"\"withdrawn_domains\": [\"south\"]",
     "\"withdrawn_domains\": [\"south\", \"north\"]", finding_kind::added,
     "$.withdrawn_domains[1]", "'north' is added", "they stay"},
    {"[\"south\"]", "[]", finding_kind::removed, "$.withdrawn_domains",
     "'south' is removed", "count as cold"},
    {"{\"north\": 2}", "{\"north\": 3, \"south\": 1}", finding_kind::changed,
     "$.presets[0].weights", "north 2 -> north 3, south 1", "new flows follow"},
    {"\"name\": \"ordinary\", \"weights\"",
     "\"name\": \"ordinary\", \"choice_width\": 2, \"weights\"",
     finding_kind::changed, "$.presets[0].choice_width", "3 -> 2",
     "new flows follow"},
    {"\"max_in_flight\": 8", "\"max_in_flight\": 9", finding_kind::changed,
     "$.presets[1].limits.max_in_flight", "8 -> 9", "not in force"},
    {"\"max_in_flight\": 8", "\"max_in_flight\": 8, \"max_flows\": 7",
     finding_kind::changed, "$.presets[1].limits.max_flows", "20000 -> 7",
     "no process applies it"},
    {"\"name\": \"peak\"", "\"name\": \"top\"", finding_kind::removed,
     "$.presets", "'peak' is removed", "none"},
    {"\"name\": \"peak\"", "\"name\": \"top\"", finding_kind::added,
     "$.presets[1]", "'top' is added", "none"},
    {"\"preset_in_force\": \"ordinary\"", "\"preset_in_force\": \"peak\"",
     finding_kind::changed, "$.preset_in_force", "ordinary -> peak",
     "they stay"}};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_changes)

BOOST_DATA_TEST_CASE(
    a_change_is_told_with_its_effect, data::make(change_cases), example)
{
    const configuration in_force = parse(clean_document);
    const auto findings =
        check_document(replace(example.text, example.replacement), &in_force);
    const bool is_told = std::any_of(
        findings.begin(), findings.end(),
        [&example](const configuration_finding& item)
        {
            return item.severity == finding_severity::change &&
                   item.kind == example.kind && item.path == example.path &&
                   item.place &&
                   item.text.find(example.difference) != std::string::npos &&
                   item.effect.find(example.effect) != std::string::npos;
        });
    BOOST_TEST(is_told, list(findings));
}

/// Guards against a field whose change is not reported, or reported twice.
BOOST_DATA_TEST_CASE(
    only_the_changed_field_is_told, data::make(change_cases), example)
{
    const configuration in_force = parse(clean_document);
    const auto changes = find_changes(
        in_force, parse(replace(example.text, example.replacement)));
    // A renamed entry is one that is removed and one that is added.
    const bool is_renamed = example.kind != finding_kind::changed;
    BOOST_TEST(
        (changes.size() == 1 || (is_renamed && changes.size() == 2)),
        list(changes));
}

BOOST_AUTO_TEST_CASE(the_place_of_a_removed_entry_is_its_list)
{
    const configuration in_force = parse(clean_document);
    const auto findings =
        check_document(replace("[\"south\"]", "[]"), &in_force);
    BOOST_REQUIRE_MESSAGE(findings.size() == 1, list(findings));
    BOOST_TEST((findings.front().place == text_place{13, 2}), list(findings));
}

BOOST_AUTO_TEST_CASE(a_first_version_is_not_compared)
{
    const configuration none;
    const auto findings = check_document(clean_document, &none);
    BOOST_REQUIRE_MESSAGE(findings.size() == 1, list(findings));
    BOOST_TEST((findings.front().kind == finding_kind::first_version));
}

BOOST_AUTO_TEST_CASE(the_order_of_entries_is_no_change)
{
    configuration after = parse(clean_document);
    std::reverse(after.services.begin(), after.services.end());
    std::reverse(after.routes.begin(), after.routes.end());
    std::reverse(after.presets.begin(), after.presets.end());
    after.number = 7;
    after.change.id = "c-1";
    const auto changes = find_changes(parse(clean_document), after);
    BOOST_TEST(changes.empty(), list(changes));
}

BOOST_AUTO_TEST_CASE(an_effect_names_only_the_paths_in_use)
{
    configuration before = parse(clean_document);
    before.services.pop_back();
    configuration after = before;
    after.withdrawn_domains.clear();
    const auto changes = find_changes(before, after);
    BOOST_REQUIRE_MESSAGE(changes.size() == 1, list(changes));
    BOOST_TEST(changes.front().effect.starts_with("routes: "));
}

BOOST_AUTO_TEST_SUITE_END()
