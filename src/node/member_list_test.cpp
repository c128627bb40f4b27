// Entries of other writers in the store's list of companions.

#include "member_list.hpp"

#include "member_document.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;

namespace
{

const std::string prefix = "list/";
constexpr endpoint address{0x0A020001, 7120};
constexpr endpoint other_address{0x0A020002, 7120};

companion_record
record_of(const std::string& name, const std::string& service, endpoint control)
{
    return {{control.packed()}, name, service, "kgl-nyr", control};
}

/// An entry beside that of the companion side-5, which serves meetups.
struct foreign_entry
{
    const char* name;
    const char* key;
    companion_record record;
    std::size_t refused;
};

std::ostream& operator<<(std::ostream& stream, const foreign_entry& value)
{
    return stream << value.name;
}

const std::vector<foreign_entry> foreign_entries{
    {"its_address_under_an_earlier_key", "list/a",
     record_of("a", "named-nowhere", address), 1},
    {"its_address_under_a_later_key", "list/x",
     record_of("x", "papers", address), 1},
    {"its_address_and_name_under_another_key", "list/x",
     record_of("side-5", "papers", address), 1},
    {"its_name_under_another_key", "list/x",
     record_of("side-5", "papers", other_address), 1},
    {"another_companion", "list/side-6",
     record_of("side-6", "papers", other_address), 0}};

companion_report report_of(const companion_record& record)
{
    companion_report report;
    report.name = record.name;
    report.service = record.service;
    report.failure_domain = record.failure_domain;
    report.packet_address = record.packet_address;
    return report;
}

const companion_record* find(const member_list& list, endpoint control)
{
    for (const companion_record& record : list.records)
    {
        if (record.id.address() == control)
        {
            return &record;
        }
    }
    return nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(member_lists)

// Guards against a companion that is taken for one of another service.
BOOST_DATA_TEST_CASE(
    an_entry_of_another_writer_does_not_take_a_companions_place,
    boost::unit_test::data::make(foreign_entries),
    item)
{
    const companion_record own = record_of("side-5", "meetups", address);
    companion_directory known;
    known.on_report(time_point{}, own.id, report_of(own));

    const member_list list = read_member_list(
        prefix,
        {{"list/side-5", serialize_member(own)},
         {item.key, serialize_member(item.record)}},
        known);

    BOOST_TEST(list.refused.size() == item.refused);
    const companion_record* found = find(list, address);
    BOOST_REQUIRE(found != nullptr);
    BOOST_TEST((*found == own));
    BOOST_TEST((find(list, other_address) != nullptr) == (item.refused == 0));
}

BOOST_AUTO_TEST_CASE(one_entry_counts_for_an_address_that_has_not_reported)
{
    const member_list list = read_member_list(
        prefix,
        {{"list/a", serialize_member(record_of("a", "meetups", address))},
         {"list/b", serialize_member(record_of("b", "papers", address))}},
        companion_directory());

    BOOST_REQUIRE(list.records.size() == 1U);
    BOOST_TEST(list.records.front().name == "a");
    BOOST_REQUIRE(list.refused.size() == 1U);
    BOOST_TEST(list.refused.front().key == "list/b");
    BOOST_TEST(!list.refused.front().reason.text.empty());
}

// An address is given to another companion soon after its former one has gone.
BOOST_AUTO_TEST_CASE(an_address_is_listed_for_its_next_companion)
{
    const companion_record former = record_of("a", "meetups", address);
    const companion_record next = record_of("b", "papers", address);
    companion_directory known;
    known.on_report(time_point{}, former.id, report_of(former));

    const member_list list =
        read_member_list(prefix, {{"list/b", serialize_member(next)}}, known);

    BOOST_REQUIRE(list.records.size() == 1U);
    BOOST_TEST((list.records.front() == next));
    BOOST_TEST(list.refused.empty());
}

BOOST_AUTO_TEST_SUITE_END()
