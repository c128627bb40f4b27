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

/// What a rule chooses among a stable candidate 1 and candidates 2 and 3 on
/// probation.
struct probation_case
{
    const char* name;
    bool stable_accepts;
    /// Requests in flight of the candidates on probation.
    std::uint32_t in_flight;
    /// Flows that the entry has placed there since their reports.
    std::uint32_t unreported;
    bool is_repeatable;
    bool is_unstable_chosen;
};

std::ostream& operator<<(std::ostream& stream, const probation_case& value)
{
    return stream << value.name;
}

const std::vector<probation_case> probation_cases{
    {"a_busy_stable_one_is_preferred", true, 0, 0, true, false},
    {"also_for_unrepeatable_requests", true, 0, 0, false, false},
    {"the_last_resort_is_used", false, 0, 0, true, true},
    {"also_for_a_few_unrepeatable_requests", false, 0, 0, false, true},
    {"half_of_the_slots_are_left_to_repeatable_ones", false, 2, 0, false,
     false},
    {"repeatable_ones_use_them", false, 2, 0, true, true},
    {"the_last_slot", false, 4, 0, true, true},
    {"a_placed_flow_occupies_a_slot", false, 4, 1, true, false},
    {"a_placed_unrepeatable_flow_occupies_one_too", false, 1, 1, false, false}};

BOOST_DATA_TEST_CASE(
    an_upstream_on_probation_is_the_last_resort,
    boost::unit_test::data::make(placement_rule_names()) *
        boost::unit_test::data::make(probation_cases),
    name,
    item)
{
    std::vector<placement_candidate> candidates{
        candidate(1, 3 * slots), candidate(2, item.in_flight),
        candidate(3, item.in_flight)};
    if (!item.stable_accepts)
    {
        candidates[0].load.refusal = result_code::not_run_overloaded;
    }
    for (const std::size_t i : {1U, 2U})
    {
        candidates[i].load.on_probation = true;
        candidates[i].unreported_placements = item.unreported;
    }
    for (std::uint64_t hash = 1; hash <= 50; ++hash)
    {
        const auto chosen = find_placement_rule(name)->choose(
            candidates, {hash * 7'919, 0.1, item.is_repeatable});
        const bool is_unstable = chosen && *chosen != 0;
        BOOST_TEST(is_unstable == item.is_unstable_chosen);
        BOOST_TEST((chosen && *chosen == 0) == item.stable_accepts);
    }
}

BOOST_DATA_TEST_CASE(
    a_service_on_probation_as_a_whole_takes_all_kinds_of_requests,
    boost::unit_test::data::make(placement_rule_names()),
    name)
{
    auto candidates = eight_candidates();
    for (auto& item : candidates)
    {
        item.load.in_flight = slots - 1;
        item.load.on_probation = true;
    }
    for (const bool is_repeatable : {true, false})
    {
        BOOST_TEST(find_placement_rule(name)
                       ->choose(candidates, {1, 0.1, is_repeatable})
                       .has_value());
    }
}

BOOST_AUTO_TEST_CASE(half_of_the_upstreams_unstable_take_what_others_cannot)
{
    // Sixteen alike upstreams, half of them on probation, and flows that stay
    // in flight. The stable ones are filled to their limit first.
    constexpr std::uint32_t limit = 4 * slots;
    std::vector<placement_candidate> candidates;
    for (std::uint64_t id = 1; id <= 16; ++id)
    {
        candidates.push_back(candidate(id, 0));
        candidates.back().load.on_probation = id % 2 == 0;
    }
    std::uint32_t stable = 0;
    std::uint32_t unstable = 0;
    for (std::uint64_t hash = 1; hash <= 1'000; ++hash)
    {
        const auto chosen = find_placement_rule(default_placement)
                                ->choose(candidates, {hash * 7'919, 0.1});
        if (!chosen)
        {
            break;
        }
        upstream_load& load = candidates[*chosen].load;
        BOOST_TEST((!load.on_probation || stable == 8 * limit));
        ++(load.on_probation ? unstable : stable);
        ++load.in_flight;
        if (load.in_flight == (load.on_probation ? slots : limit))
        {
            load.refusal = result_code::not_run_overloaded;
        }
    }
    BOOST_TEST(stable == 8 * limit);
    BOOST_TEST(unstable == 8 * slots);
}

BOOST_AUTO_TEST_CASE(without_a_probation_the_kind_of_request_changes_nothing)
{
    auto candidates = eight_candidates();
    candidates[0].load.refusal = result_code::not_run_overloaded;
    for (const std::string& name : placement_rule_names())
    {
        for (std::uint64_t hash = 1; hash <= 500; ++hash)
        {
            const placement_rule& rule = *find_placement_rule(name);
            const auto first = rule.choose(candidates, {hash, 0.1, true});
            BOOST_TEST((first == rule.choose(candidates, {hash, 0.1, false})));
            if (name != default_placement)
            {
                continue;
            }
            for (std::size_t i = 1; i < candidates.size(); ++i)
            {
                BOOST_TEST(
                    placement_cost(candidates[*first], {hash, 0.1}) <=
                    placement_cost(candidates[i], {hash, 0.1}));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_unknown_rule_name_is_not_found)
{
    BOOST_TEST(find_placement_rule("fastest") == nullptr);
    BOOST_TEST(placement_rule_names().front() == default_placement);
}

BOOST_AUTO_TEST_SUITE_END()
