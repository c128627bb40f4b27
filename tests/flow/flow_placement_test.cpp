// Placement rules: how an entry chooses a companion for a new flow.

#include "masticslip/flow/flow_placement.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace masticslip;

namespace
{

constexpr std::uint32_t slots = 5;

placement_candidate candidate(std::uint64_t id, std::uint32_t in_flight)
{
    placement_candidate result;
    result.id = {id};
    result.load.in_flight = in_flight;
    result.load.concurrency = slots;
    result.load.refusal = result_code::done;
    return result;
}

/// Eight candidates with increasing load; the last is remote.
std::vector<placement_candidate> eight_candidates()
{
    std::vector<placement_candidate> result;
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        result.push_back(candidate(i + 1, i));
    }
    result.back().is_remote = true;
    return result;
}

/// Ids of all candidates that a rule chooses for 500 flows.
std::set<std::uint64_t> chosen_ids(
    const placement_rule& rule,
    const std::vector<placement_candidate>& candidates)
{
    constexpr std::uint64_t flows = 500;
    std::set<std::uint64_t> result;
    for (std::uint64_t hash = 1; hash <= flows; ++hash)
    {
        if (const auto chosen = rule.choose(candidates, {hash * 7'919, 0.1}))
        {
            result.insert(candidates[*chosen].id.value);
        }
    }
    return result;
}

/// Number of distinct candidates, of eight, that a rule uses.
struct spread_case
{
    const char* name;
    std::size_t used;
};

std::ostream& operator<<(std::ostream& stream, const spread_case& value)
{
    return stream << value.name;
}

const std::vector<spread_case> spread_cases{
    {"least_cost", 1},
    {"three_choices", 6},
    {"two_choices", 7},
    {"random", 8},
    {"near_first", 1}};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_placement_rules)

BOOST_DATA_TEST_CASE(
    spreads_flows_over_the_expected_number_of_candidates,
    boost::unit_test::data::make(spread_cases),
    item)
{
    const placement_rule* rule = find_placement_rule(item.name);
    BOOST_REQUIRE(rule != nullptr);
    BOOST_TEST(chosen_ids(*rule, eight_candidates()).size() == item.used);
}

BOOST_DATA_TEST_CASE(
    never_chooses_a_candidate_that_refuses,
    boost::unit_test::data::make(placement_rule_names()),
    name)
{
    auto candidates = eight_candidates();
    for (std::size_t i = 0; i < 4; ++i)
    {
        candidates[i].load.refusal = result_code::not_run_overloaded;
    }
    candidates[4].load.is_cold = true;
    const auto used = chosen_ids(*find_placement_rule(name), candidates);
    BOOST_TEST(!used.empty());
    for (const std::uint64_t id : used)
    {
        BOOST_TEST(id > 5U, name << " chose " << id);
    }
}

BOOST_DATA_TEST_CASE(
    chooses_nothing_if_all_refuse,
    boost::unit_test::data::make(placement_rule_names()),
    name)
{
    auto candidates = eight_candidates();
    for (auto& item : candidates)
    {
        item.load.refusal = result_code::not_run_upstream_leaving;
    }
    BOOST_TEST(chosen_ids(*find_placement_rule(name), candidates).empty());
}

BOOST_AUTO_TEST_CASE(near_first_prefers_local_candidates_until_no_slot_is_free)
{
    const placement_rule& rule = *find_placement_rule("near_first");
    std::vector<placement_candidate> candidates{
        candidate(1, slots - 1), candidate(2, 0)};
    candidates[1].is_remote = true;
    BOOST_TEST(rule.choose(candidates, {1, 0.1}).value() == 0U);
    candidates[0].load.in_flight = slots;
    BOOST_TEST(rule.choose(candidates, {1, 0.1}).value() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unknown_rule_name_is_not_found)
{
    BOOST_TEST(find_placement_rule("fastest") == nullptr);
    BOOST_TEST(placement_rule_names().front() == default_placement);
}

BOOST_AUTO_TEST_SUITE_END()
