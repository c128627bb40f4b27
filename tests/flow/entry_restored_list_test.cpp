// What an entry concludes from a list that it reads after the store was
// restored from a copy.

#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

constexpr std::uint64_t era = 1;

/// Eras in which two listed companions state that their registrations were not
/// lost.
struct kept_eras
{
    const char* name;
    std::uint64_t first;
    std::uint64_t second;
};

std::ostream& operator<<(std::ostream& stream, const kept_eras& value)
{
    return stream << value.name;
}

constexpr kept_eras earlier_eras[] = {
    {"both_before_the_store_was_restored", era - 1, era - 1},
    {"one_before_the_store_was_restored", era, era - 1}};

/// A report of a companion that has read its policy in this era.
companion_report kept_report(std::uint16_t number, std::uint64_t read_era)
{
    companion_report report = ready_report(number);
    report.policy.position.era = read_era;
    report.policy.configuration_era = read_era;
    report.is_registration_continuous = true;
    return report;
}

struct restored_list_fixture : entry_fixture
{
    /// The entry reads the policy and a list of two companions. They report,
    /// and answer that they do not hold a flow.
    void look_up_flow(const kept_eras& eras)
    {
        core.on_policy(
            at(0ms), std::make_shared<policy>(
                         store_position{era, 7}, test_policy(7)->value()));
        core.on_list_read(at(0ms));
        core.on_listed(at(0ms), registration(1));
        core.on_listed(at(0ms), registration(2));
        core.on_message(at(0ms), companion(1), kept_report(1, eras.first));
        core.on_message(at(0ms), companion(2), kept_report(2, eras.second));
        core.on_caller_packet(at(1ms), data_packet(test_flow(1), 1'001, 2));
        answer_absent(2ms, {1, 2}, test_flow(1));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_restored_list)

// Guards against a reset by an entry that starts just after the store was
// restored: the copy lists few companions, and one of them that has not heard
// of it yet states that no registration was lost.
BOOST_DATA_TEST_CASE_F(
    restored_list_fixture,
    registrations_kept_in_an_earlier_era_do_not_show_that_the_list_is_whole,
    boost::unit_test::data::make(earlier_eras),
    item)
{
    look_up_flow(item);

    BOOST_TEST(output.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(
    registrations_kept_in_the_lists_era_show_that_it_is_whole,
    restored_list_fixture)
{
    look_up_flow({"the_lists_era", era, era});

    BOOST_TEST(output.resets.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
