// Numbers of companions that entries state while companions depart. A number
// that still counts a departed companion must not delay the reset of lost
// flows; one that counts a companion that the entry does not know must prevent
// it.

#include "entry_fixture.hpp"

#include "masticslip/flow/service_count.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

std::vector<instance_id> ids_of(const std::vector<std::uint16_t>& numbers)
{
    std::vector<instance_id> result;
    for (const std::uint16_t number : numbers)
    {
        result.push_back(companion(number));
    }
    return result;
}

service_count count_of(const std::vector<std::uint16_t>& numbers)
{
    service_count result;
    for (const instance_id id : ids_of(numbers))
    {
        result.add(id);
    }
    return result;
}

struct count_case
{
    const char* name;
    std::vector<std::uint16_t> stated;
    std::vector<std::uint16_t> base;
    std::vector<std::uint16_t> others;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const count_case& item)
{
    return out << item.name;
}

const std::vector<count_case> count_cases{
    {"the_same", {1, 2, 3}, {1, 2, 3}, {}, true},
    {"the_same_number_of_others", {1, 2, 4}, {1, 2, 3}, {}, false},
    {"one_departed", {1, 2, 3}, {1, 2}, {3}, true},
    {"one_of_two_departed", {1, 2, 3}, {1, 2}, {4, 3}, true},
    {"two_of_three_departed", {1, 2, 3, 5}, {1, 2}, {3, 4, 5}, true},
    {"an_unknown_one", {1, 2, 9}, {1, 2}, {3}, false},
    {"an_unknown_and_a_departed_one", {1, 2, 3, 9}, {1, 2}, {3}, false},
    {"fewer", {1}, {1, 2}, {}, false},
    {"more_than_three", {1, 2, 3, 4, 5}, {1}, {2, 3, 4, 5}, false},
    {"no_digest", {}, {}, {}, false}};

/// Companions 1 and 2 are present. Companion 3 was, until its departure at 1 s.
struct departure_fixture : entry_fixture
{
    departure_fixture()
    {
        this->make_ready(3);
        for (const std::uint16_t i : {1, 2, 3})
        {
            this->report(900ms, i, {1, 2, 3});
        }
        companion_report gone = sized_report(3, 0);
        gone.has_left = true;
        gone.is_stopping = true;
        this->core.on_message(at(1'000ms), companion(3), gone);
    }

    /// Companion `number` reports that an entry has stated these companions.
    void report(
        std::chrono::milliseconds now,
        std::uint16_t number,
        const std::vector<std::uint16_t>& stated)
    {
        const service_count count = count_of(stated);
        companion_report message = sized_report(number, count.size);
        message.service_digest = count.digest;
        this->core.on_message(at(now), companion(number), message);
    }

    /// Looks up a flow that companions 1 and 2 do not hold; true if its caller
    /// is reset.
    bool is_reset(std::chrono::milliseconds now)
    {
        this->core.on_caller_packet(
            at(now), data_packet(test_flow(1), 1'001, 2));
        this->answer_absent(now + 1ms, {1, 2}, test_flow(1));
        return !this->output.resets.empty();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(service_count_rules)

BOOST_DATA_TEST_CASE(
    explains_only_counts_of_known_companions,
    boost::unit_test::data::make(count_cases),
    item)
{
    const bool result = is_explained(
        count_of(item.stated), count_of(item.base), ids_of(item.others));
    BOOST_TEST(result == item.expected);
}

// Upstreams are replaced one after the other: the number that entries state is
// always behind.
BOOST_FIXTURE_TEST_CASE(
    a_count_of_a_departed_companion_does_not_delay_a_reset, departure_fixture)
{
    BOOST_TEST(is_reset(1'100ms));
}

BOOST_FIXTURE_TEST_CASE(
    a_departed_companion_does_not_stand_in_for_one_that_is_not_known,
    departure_fixture)
{
    report(1'050ms, 1, {1, 2, 9});
    BOOST_TEST(!is_reset(1'100ms));
}

// After this time its address may belong to another companion.
BOOST_FIXTURE_TEST_CASE(
    a_departed_companion_explains_a_count_for_a_short_time_only,
    departure_fixture)
{
    report(2'500ms, 1, {1, 2, 3});
    BOOST_TEST(!is_reset(2'600ms));
}

BOOST_AUTO_TEST_SUITE_END()
