// Positions of entries in a JSON text.

#include "core/json_places.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
namespace data = boost::unit_test::data;

/// A text, and its entries as "path@offset", with "!" after repeated keys.
struct scan_case
{
    const char* text;
    const char* entries;
};

std::ostream& operator<<(std::ostream& out, const scan_case& item)
{
    return out << item.text;
}

const scan_case scan_cases[] = {
    {"7", "$@0"},
    {" \n\"a\" ", "$@2"},
    {"{}", "$@0"},
    {"[ ]", "$@0"},
    {R"({"a":1,"b":[true,null]})", "$@0 $.a@1 $.b@7 $.b[0]@12 $.b[1]@17"},
    {R"({ "a" : { "b" : -1.5e3 } , "c" : "" })", "$@0 $.a@2 $.a.b@10 $.c@27"},
    // Marks within strings are not structure.
    {R"({"a":"]},\"","b":"\\"})", "$@0 $.a@1 $.b@13"},
    {R"(["\\","x"])", "$@0 $[0]@1 $[1]@6"},
    // Keys are equal by value, not by spelling.
    {R"({"a":1,"\u0061":2})", "$@0 $.a@1 $.a@7!"},
    // A key may be used again in another object.
    {R"([{"a":1},{"a":1}])", "$@0 $[0]@1 $[0].a@2 $[1]@9 $[1].a@10"},
    {R"({"a":{"a":1}})", "$@0 $.a@1 $.a.a@6"}};

struct place_case
{
    const char* text;
    std::size_t offset;
    text_place place;
};

std::ostream& operator<<(std::ostream& out, const place_case& item)
{
    return out << item.offset;
}

const place_case place_cases[] = {{"", 0, {1, 1}},      {"ab", 1, {1, 2}},
                                  {"a\nb", 1, {1, 2}},  {"a\nb", 2, {2, 1}},
                                  {"\n\n", 2, {3, 1}},  {"a\r\nb", 3, {2, 1}},
                                  {"a\nbcd", 5, {2, 4}}};

} // namespace

BOOST_AUTO_TEST_SUITE(json_positions)

BOOST_DATA_TEST_CASE(
    entries_are_visited_in_order, data::make(scan_cases), example)
{
    std::string entries;
    detail::scan_json(
        example.text,
        [&entries](const detail::json_place& item)
        {
            entries += (entries.empty() ? "" : " ") + std::string(item.path) +
                       "@" + std::to_string(item.offset) +
                       (item.is_repeated ? "!" : "");
        });
    BOOST_TEST(entries == example.entries);
}

BOOST_DATA_TEST_CASE(
    lines_and_columns_start_at_one, data::make(place_cases), example)
{
    const auto place = detail::place_of(example.text, example.offset);
    BOOST_TEST(place.line == example.place.line);
    BOOST_TEST(place.column == example.place.column);
}

BOOST_AUTO_TEST_CASE(a_missing_entry_is_located_at_what_should_contain_it)
{
    std::vector<configuration_finding> findings(3);
    findings[0].path = "$.a.x.y";
    findings[1].path = "$.b[4].x";
    findings[2].path = "$.x";
    detail::locate_findings("{\"a\":{},\n\"b\":[1]}", findings);
    BOOST_TEST((findings[0].place == text_place{1, 2}));
    BOOST_TEST((findings[1].place == text_place{2, 1}));
    BOOST_TEST((findings[2].place == text_place{1, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
