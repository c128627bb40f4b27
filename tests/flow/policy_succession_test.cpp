// Checks which policy is in force after the store was restored from an older
// copy.

#include "masticslip/flow/policy_succession.hpp"

#include "recording_outputs.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;
using namespace std::chrono_literals;

namespace
{

using domains = std::vector<std::string>;

/// What the store holds at a position.
std::shared_ptr<const policy>
stored(store_position position, generation version, domains withdrawn = {})
{
    configuration value = test_policy(version, withdrawn)->value();
    // A valid document lists every withdrawn domain.
    value.failure_domains = std::move(withdrawn);
    return std::make_shared<policy>(position, std::move(value));
}

/// A policy offered while version 10 of era 1, revision 90, is in force with
/// domain "a" withdrawn.
struct offer_case
{
    const char* name;
    store_position position;
    generation version;
    domains withdrawn;
    bool contents_changed;
    bool older_version_ignored;
    generation version_after;
    domains withdrawn_after;
};

std::ostream& operator<<(std::ostream& stream, const offer_case& value)
{
    return stream << value.name;
}

const std::vector<offer_case> offer_cases{
    {"a_higher_revision_of_the_era_is_applied",
     {1, 91},
     11,
     {},
     true,
     false,
     11,
     {}},
    {"a_lower_revision_of_the_era_is_outdated",
     {1, 89},
     9,
     {},
     false,
     false,
     10,
     {"a"}},
    {"an_older_version_of_a_new_era_is_kept_out",
     {2, 50},
     8,
     {"a"},
     false,
     true,
     10,
     {"a"}},
    {"a_withdrawal_missing_from_a_new_era_stays",
     {2, 50},
     10,
     {},
     false,
     false,
     10,
     {"a"}},
    {"a_withdrawal_of_the_copy_is_added",
     {2, 50},
     8,
     {"b"},
     true,
     true,
     10,
     {"a", "b"}},
    {"a_newer_version_of_a_new_era_is_applied",
     {2, 95},
     12,
     {"a"},
     true,
     false,
     12,
     {"a"}},
    {"the_same_contents_of_a_new_era_move",
     {2, 50},
     10,
     {"a"},
     false,
     false,
     10,
     {"a"}},
    {"an_older_era_with_a_newer_version_adds_it",
     {0, 99},
     12,
     {"a"},
     true,
     false,
     12,
     {"a"}}};

struct succession_fixture
{
    succession_fixture()
    {
        policies.offer(at(0ms), stored({1, 90}, 10, {"a"}));
    }

    const configuration& value() const
    {
        return this->policies.current()->value();
    }

    policy_succession policies;
};

} // namespace

BOOST_AUTO_TEST_SUITE(policy_succession_rules)

BOOST_DATA_TEST_CASE_F(
    succession_fixture,
    an_offer_is_judged_by_era_version_and_revision,
    boost::unit_test::data::make(offer_cases),
    item)
{
    const offer_result result = policies.offer(
        at(1ms), stored(item.position, item.version, item.withdrawn));

    BOOST_TEST(result.contents_changed == item.contents_changed);
    BOOST_TEST(result.older_version_ignored == item.older_version_ignored);
    BOOST_TEST(value().number == item.version_after);
    BOOST_TEST(
        value().withdrawn_domains == item.withdrawn_after,
        boost::test_tools::per_element());
    BOOST_TEST(
        (policies.current()->position() ==
         std::max(item.position, store_position{1, 90})));
}

BOOST_FIXTURE_TEST_CASE(
    a_removal_counts_once_the_new_era_has_held_the_withdrawal,
    succession_fixture)
{
    policies.offer(at(1ms), stored({2, 50}, 8));
    policies.offer(at(2ms), stored({2, 51}, 10, {"a"}));
    BOOST_TEST(value().is_withdrawn("a"));

    const auto result = policies.offer(at(3ms), stored({2, 52}, 10));

    BOOST_TEST(result.contents_changed);
    BOOST_TEST(!value().is_withdrawn("a"));
}

BOOST_FIXTURE_TEST_CASE(
    a_carried_withdrawal_ends_after_its_limit, succession_fixture)
{
    policies.offer(at(1ms), stored({2, 50}, 10));
    BOOST_TEST(!policies.expire(at(10'000ms)));
    BOOST_TEST(value().is_withdrawn("a"));

    BOOST_TEST(policies.expire(at(10'001ms)));

    BOOST_TEST(!value().is_withdrawn("a"));
    BOOST_TEST(!policies.expire(at(10'002ms)));
}

BOOST_FIXTURE_TEST_CASE(
    an_older_era_adds_no_withdrawals_after_the_limit, succession_fixture)
{
    policies.offer(at(1ms), stored({2, 50}, 10));
    policies.expire(at(11'000ms));

    // A peer that was suspended still announces the earlier era.
    policies.offer(at(12'000ms), stored({1, 95}, 10, {"b"}));

    BOOST_TEST(!value().is_withdrawn("b"));
}

BOOST_FIXTURE_TEST_CASE(
    an_older_version_in_the_new_era_never_replaces_a_newer_one,
    succession_fixture)
{
    policies.offer(at(1ms), stored({2, 50}, 8));
    policies.offer(at(2ms), stored({2, 51}, 8, {"b"}));
    BOOST_TEST(value().number == 10U);
    BOOST_TEST(value().is_withdrawn("b"));

    policies.offer(at(3ms), stored({2, 52}, 9, {"b"}));
    BOOST_TEST(value().number == 10U);

    policies.offer(at(4ms), stored({2, 53}, 10, {"b"}));
    policies.offer(at(5ms), stored({2, 54}, 11, {"b"}));
    BOOST_TEST(value().number == 11U);
}

BOOST_FIXTURE_TEST_CASE(
    two_restorations_in_a_row_keep_the_newest_version, succession_fixture)
{
    policies.offer(at(1ms), stored({2, 50}, 8));
    policies.offer(at(2ms), stored({3, 40}, 7));
    BOOST_TEST(value().number == 10U);
    BOOST_TEST(value().is_withdrawn("a"));
    BOOST_TEST(policies.current()->position().era == 3U);
}

// Restored while one process knows version 10 and another starts: whoever asks
// whom, both end with the newer version and the withdrawal.
BOOST_FIXTURE_TEST_CASE(
    processes_of_both_eras_agree_after_exchanging_policies, succession_fixture)
{
    policy_succession fresh;
    fresh.offer(at(1ms), stored({2, 50}, 8));
    BOOST_TEST(
        (fresh.compare(policies.current()->mark()) == mark_relation::newer));

    fresh.offer(at(2ms), policies.current());
    policies.offer(at(2ms), fresh.current());

    BOOST_TEST(fresh.current()->value().number == 10U);
    BOOST_TEST(fresh.current()->value().is_withdrawn("a"));
    BOOST_TEST((fresh.current()->mark() == policies.current()->mark()));
    BOOST_TEST(
        (fresh.compare(policies.current()->mark()) ==
         mark_relation::nothing_new));
}

BOOST_FIXTURE_TEST_CASE(
    carried_withdrawals_reach_a_process_that_read_the_same_position,
    succession_fixture)
{
    policies.offer(at(1ms), stored({2, 50}, 10));
    policy_succession fresh;
    fresh.offer(at(1ms), stored({2, 50}, 10));
    BOOST_TEST(!fresh.current()->value().is_withdrawn("a"));
    BOOST_TEST(
        (fresh.compare(policies.current()->mark()) == mark_relation::newer));

    fresh.offer(at(2ms), policies.current());

    BOOST_TEST(fresh.current()->value().is_withdrawn("a"));
    BOOST_TEST(fresh.expire(at(10'001ms)));
    BOOST_TEST(!fresh.current()->value().is_withdrawn("a"));
}

BOOST_FIXTURE_TEST_CASE(
    the_same_contents_of_a_new_era_are_not_fetched, succession_fixture)
{
    policy_mark mark = policies.current()->mark();
    mark.position = {2, 50};
    mark.configuration_era = 2;
    BOOST_TEST((policies.compare(mark) == mark_relation::same_contents));

    policies.move_to(mark);

    BOOST_TEST((policies.current()->mark() == mark));
    BOOST_TEST((policies.compare(mark) == mark_relation::nothing_new));
}

BOOST_AUTO_TEST_SUITE_END()
