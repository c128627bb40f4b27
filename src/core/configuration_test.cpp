#include "masticslip/core/configuration.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
namespace data = boost::unit_test::data;

const std::string valid_document = R"({"schema":1,"generation":3,
"services":[{"name":"meetups","address":"10.0.0.1:5683"},
            {"name":"papers","address":"10.0.0.1:5684"}],
"failure_domains":["kgl-nyr","kgl-gas"],"withdrawn_domains":["kgl-gas"],
"presets":[{"name":"ordinary","choice_width":2,"weights":{"kgl-nyr":3},
            "limits":{"max_in_flight":7}},{"name":"peak"}],
"preset_in_force":"ordinary"})";

/// A replacement in the valid document and the expected start of the error.
struct invalid_case
{
    const char* text;
    const char* replacement;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const invalid_case& item)
{
    return out << item.message;
}

const invalid_case invalid_cases[] = {
    {"\"schema\":1", "\"schema\":2", "$.schema: must be a whole number"},
    {"\"schema\":1", "\"scheme\":1", "$.schema: is missing"},
    {"\"address\":\"10.0.0.1:5683\"", "\"adress\":\"10.0.0.1:5683\"",
     "$.services[0].address: is missing"},
    {"10.0.0.1:5683", "10.0.0.1", "$.services[0].address: '10.0.0.1'"},
    {"10.0.0.1:5684", "10.0.0.1:5683",
     "$.services[1].address: already used by service 'meetups'"},
    {"\"papers\"", "\"meetups\"",
     "$.services[1].name: 'meetups' has the same id"},
    {"[\"kgl-gas\"]", "[\"kgl-x\"]",
     "$.withdrawn_domains[0]: 'kgl-x' is not a failure domain"},
    {"\"kgl-nyr\",\"kgl-gas\"", "\"kgl-gas\",\"kgl-gas\"",
     "$.failure_domains[1]: 'kgl-gas' is named twice"},
    {"\"choice_width\":2", "\"choice_width\":9",
     "$.presets[0].choice_width: must be a whole number from 1 to 5"},
    {"\"choice_width\":2", "\"choice_width\":2.5",
     "$.presets[0].choice_width: must be a whole number"},
    {"\"max_in_flight\":7", "\"max_in_flight\":0",
     "$.presets[0].limits.max_in_flight: must be"},
    {"\"max_in_flight\":7", "\"max_inflight\":7",
     "$.presets[0].limits.max_inflight: unknown key"},
    {"{\"kgl-nyr\":3}", "{\"kgl-x\":3}",
     "$.presets[0].weights.kgl-x: not a failure domain"},
    {"\"preset_in_force\":\"ordinary\"", "\"preset_in_force\":\"none\"",
     "$.preset_in_force: 'none' is not a preset"},
    {"{\"name\":\"peak\"}", "{\"name\":\"ordinary\"}",
     "$.presets[1].name: must be non-empty and unique"},
    {"\"presets\":[", "\"presets\":7,\"x\":[", "$.presets: must be an array"},
    {"\"preset_in_force\"", "\"colour\":1,\"preset_in_force\"",
     "$.colour: unknown key"},
    {"\"schema\":1", "\"schema\":", "$: not JSON"}};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_document)

BOOST_AUTO_TEST_CASE(reads_all_parts)
{
    failure_reason reason;
    const auto value = parse_configuration(valid_document, reason);

    BOOST_REQUIRE_MESSAGE(value, reason.text);
    BOOST_TEST(value->number == 3U);
    BOOST_TEST(value->services.size() == 2U);
    BOOST_TEST(value->active_preset().choice_width == 2U);
    BOOST_TEST(value->active_preset().limits.max_in_flight == 7U);
    BOOST_TEST(value->is_withdrawn("kgl-gas"));
    BOOST_TEST(!value->is_withdrawn("kgl-nyr"));
    BOOST_TEST(
        value->find_service(make_service_id("papers"))->address.port == 5684);
}

BOOST_AUTO_TEST_CASE(survives_a_round_trip)
{
    failure_reason reason;
    const auto value = parse_configuration(valid_document, reason);
    const auto again =
        parse_configuration(serialize_configuration(*value), reason);

    BOOST_REQUIRE_MESSAGE(again, reason.text);
    BOOST_TEST((*again == *value));
}

BOOST_DATA_TEST_CASE(
    rejects_an_invalid_document_with_the_path,
    data::make(invalid_cases),
    example)
{
    std::string text = valid_document;
    const std::string original = example.text;
    text.replace(text.find(original), original.size(), example.replacement);
    failure_reason reason;

    const auto value = parse_configuration(text, reason);

    BOOST_TEST(!value);
    BOOST_TEST((reason.code == result_code::config_invalid));
    BOOST_TEST(
        reason.text.starts_with(example.message),
        "'" << reason.text << "' does not start with '" << example.message
            << "'");
}

BOOST_AUTO_TEST_CASE(rejects_a_document_larger_than_a_datagram)
{
    const std::string text(max_document_size + 1, ' ');
    failure_reason reason;
    BOOST_TEST(!parse_configuration(text, reason));
    BOOST_TEST(reason.text.find("larger than") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
