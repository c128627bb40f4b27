// Checks that policies survive the exchange between peers and that malformed
// documents are refused with a reason.

#include "node/policy_document.hpp"

#include "net/compression.hpp"

#include "recording_outputs.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;
using namespace std::chrono_literals;

namespace
{

/// A policy with a carried withdrawal that ends eight seconds after the start.
policy carried_policy()
{
    configuration value = test_policy(10, {"a", "b"})->value();
    value.failure_domains = {"a", "b"};
    preset ordinary;
    ordinary.name = "ordinary";
    value.presets.push_back(ordinary);
    value.preset_in_force = ordinary.name;
    return {{2, 50}, value, 1, {{"a"}, at(8s)}};
}

struct malformed_case
{
    const char* name;
    const char* text;
};

std::ostream& operator<<(std::ostream& stream, const malformed_case& value)
{
    return stream << value.name;
}

const std::vector<malformed_case> malformed_cases{
    {"empty", ""},
    {"no_json", "77\n{}"},
    {"no_revision",
     R"({"era":1,"configuration_era":1,"carried":[],"carried_ms":0})"
     "\n{}"},
    {"a_configuration_newer_than_its_position",
     R"({"era":1,"revision":5,"configuration_era":2,"carried":[],)"
     R"("carried_ms":0})"
     "\n{}"},
    {"a_domain_that_is_no_text",
     R"({"era":1,"revision":5,"configuration_era":1,"carried":[7],)"
     R"("carried_ms":9})"
     "\n{}"},
    {"no_configuration",
     R"({"era":1,"revision":5,"configuration_era":1,"carried":[],)"
     R"("carried_ms":0})"}};

} // namespace

BOOST_AUTO_TEST_SUITE(policy_documents)

BOOST_AUTO_TEST_CASE(a_policy_survives_a_round_trip)
{
    const policy original = carried_policy();
    failure_reason reason;

    const auto parsed =
        parse_policy(serialize_policy(original, at(3s)), at(1'003s), reason);

    BOOST_REQUIRE_MESSAGE(parsed.has_value(), reason.text);
    BOOST_TEST((parsed->mark() == original.mark()));
    BOOST_TEST((parsed->carried().domains == original.carried().domains));
    // Five seconds remained when it was sent.
    BOOST_TEST((parsed->carried().until == at(1'008s)));
}

BOOST_AUTO_TEST_CASE(a_carried_withdrawal_is_never_extended_beyond_its_limit)
{
    std::string inflate_error;
    std::string text = decompress(
                           serialize_policy(carried_policy(), at(0s)),
                           1'000'000, inflate_error)
                           .value_or("");
    const std::string remaining = "\"carried_ms\":8000";
    const auto found = text.find(remaining);
    BOOST_REQUIRE(found != std::string::npos);
    text.replace(found, remaining.size(), "\"carried_ms\":9000000");
    failure_reason reason;

    const auto parsed = parse_policy(compress(text), at(0s), reason);

    BOOST_REQUIRE_MESSAGE(parsed.has_value(), reason.text);
    BOOST_TEST((parsed->carried().until == at(10s)));
}

BOOST_DATA_TEST_CASE(
    a_malformed_document_is_refused_with_a_reason,
    boost::unit_test::data::make(malformed_cases),
    item)
{
    failure_reason reason;
    BOOST_TEST(!parse_policy(compress(item.text), at(0s), reason).has_value());
    BOOST_TEST(!reason.text.empty());
    BOOST_TEST((reason.code != result_code::done));
}

BOOST_AUTO_TEST_CASE(an_uncompressed_document_is_refused_with_a_reason)
{
    failure_reason reason;
    BOOST_TEST(!parse_policy("{}\n{}", at(0s), reason).has_value());
    BOOST_TEST(!reason.text.empty());
    BOOST_TEST((reason.code == result_code::config_invalid));
}

BOOST_AUTO_TEST_SUITE_END()
