#include "lost_records.hpp"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
namespace data = boost::unit_test::data;

/// A chain of `length` records with the changes c-1, c-2 and so on.
std::vector<audit_record> make_chain(std::size_t length)
{
    std::vector<audit_record> result(length);
    for (std::size_t i = 0; i < length; ++i)
    {
        result[i].number = i + 1;
        result[i].change_id = "c-" + std::to_string(i + 1);
    }
    return result;
}

struct lost_case
{
    const char* name;
    std::size_t chain_length;
    std::vector<remembered_change> memory;
    /// Descriptions of the lost records, one per line.
    const char* expected;
};

std::ostream& operator<<(std::ostream& out, const lost_case& item)
{
    return out << item.name;
}

const lost_case lost_cases[] = {
    {"no memory", 2, {}, ""},
    {"as in the chain", 2, {{"a", 1, "c-1"}, {"a", 2, "c-2"}}, ""},
    {"behind the chain", 3, {{"a", 1, "c-1"}}, ""},
    {"change not told", 2, {{"a", 2, ""}}, ""},
    {"newer",
     1,
     {{"a", 2, "c-2"}, {"b", 2, "c-2"}},
     "generation 2  c-2: missing, remembered by a, b\n"},
    {"newer, change not told",
     1,
     {{"a", 2, ""}},
     "generation 2: missing, remembered by a\n"},
    {"other change under the same number",
     2,
     {{"b", 2, "c-9"}, {"a", 2, "c-2"}},
     "generation 2  c-9: replaced by c-2, remembered by b\n"},
    {"two changes beyond the chain",
     1,
     {{"a", 2, "c-8"}, {"b", 2, "c-9"}},
     "generation 2  c-8: missing, remembered by a\n"
     "generation 2  c-9: missing, remembered by b\n"},
    {"one generation that nobody remembers",
     1,
     {{"a", 3, "c-3"}},
     "generation 2: missing, remembered by no process\n"
     "generation 3  c-3: missing, remembered by a\n"},
    {"empty chain, far generation",
     0,
     {{"a", 18446744073709551615U, "c-9"}},
     "generations 1 to 18446744073709551614: missing, remembered by no "
     "process\n"
     "generation 18446744073709551615  c-9: missing, remembered by a\n"}};

struct report_case
{
    const char* report;
    /// Process, generation and change of each, one per line.
    const char* expected;
};

std::ostream& operator<<(std::ostream& out, const report_case& item)
{
    return out << item.report;
}

const report_case report_cases[] = {
    {R"({"name":"a","configuration":{"generation":2,"change":"c-2"},)"
     R"("history":[{"generation":1,"since_us":5,"change":"c-1"}]})",
     "a 1 c-1\na 2 c-2\n"},
    {R"({"name":"a","configuration":{"generation":2,"change":"c-2"},)"
     R"("history":[{"generation":1,"since_us":5},)"
     R"({"generation":2,"since_us":6}]})",
     "a 1 \na 2 c-2\n"},
    {R"({"name":"a","configuration":{"generation":0},"history":[]})", ""},
    {R"({"id":"10.0.0.1:7000","configuration":{"generation":4}})",
     "10.0.0.1:7000 4 \n"},
    {R"({"configuration":{"generation":4}})", "unnamed 4 \n"},
    {"{}", ""},
    {R"({"name":"a","configuration":7,"history":"x"})", ""},
    {R"({"name":"a","configuration":{"generation":"2"},)"
     R"("history":[1,null,{},{"generation":-1},{"generation":1.5},)"
     R"({"generation":3,"change":9}]})",
     "a 3 \n"}};

} // namespace

BOOST_AUTO_TEST_SUITE(lost_records)

BOOST_DATA_TEST_CASE(
    lost_records_are_found_and_described, data::make(lost_cases), item)
{
    std::string lines;
    for (const auto& record :
         find_lost_records(make_chain(item.chain_length), item.memory))
    {
        lines += describe(record) + '\n';
    }
    BOOST_TEST(lines == item.expected);
}

BOOST_DATA_TEST_CASE(
    memory_is_read_from_reports, data::make(report_cases), item)
{
    std::string lines;
    for (const auto& change :
         read_memory(boost::json::parse(item.report).as_object()))
    {
        lines += change.process + ' ' + std::to_string(change.number) + ' ' +
                 change.change_id + '\n';
    }
    BOOST_TEST(lines == item.expected);
}

BOOST_AUTO_TEST_SUITE_END()
