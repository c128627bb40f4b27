// Tests of rendezvous ranking, upstream selection, admission limits, the retry
// budget, the flow cache, Echo values, execution records and member merging.

#include "masticslip/core/admission_limit.hpp"
#include "masticslip/core/detail/heartbeat_controller.hpp"
#include "masticslip/core/echo_token.hpp"
#include "masticslip/core/execution_records.hpp"
#include "masticslip/core/flow_cache.hpp"
#include "masticslip/core/member_table.hpp"
#include "masticslip/core/rendezvous.hpp"
#include "masticslip/core/retry_budget.hpp"
#include "masticslip/core/upstream_choice.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace masticslip
{

std::ostream& operator<<(std::ostream& out, limit_policy policy)
{
    return out << "policy " << static_cast<int>(policy);
}

std::ostream& operator<<(std::ostream& out, completion end)
{
    return out << "completion " << static_cast<int>(end);
}

} // namespace masticslip

namespace
{

using namespace masticslip;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

constexpr time_point start{1s};

flow_key make_flow(std::uint32_t number)
{
    return {{number, 4000}, make_service_id("meetups")};
}

std::vector<weighted_instance> make_members(std::size_t count)
{
    std::vector<weighted_instance> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result.push_back({{i + 1}, 1});
    }
    return result;
}

std::uint32_t limit_after(
    admission_limit& limit, int completions, duration latency, completion end)
{
    time_point now = start;
    for (int i = 0; i < completions; ++i)
    {
        now += latency;
        limit.on_completion(now, latency, end, limit.limit());
    }
    return limit.limit();
}

} // namespace

BOOST_AUTO_TEST_SUITE(rendezvous)

BOOST_AUTO_TEST_CASE(join_moves_only_flows_to_the_new_member)
{
    const auto before = make_members(7);
    const auto after = make_members(8);
    std::size_t moved = 0;
    constexpr std::uint32_t flows = 8000;
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        const std::uint64_t key = hash_flow(make_flow(i));
        const auto owner_before = rank_candidates(key, before, 1).front();
        const auto owner_after = rank_candidates(key, after, 1).front();
        BOOST_REQUIRE((owner_after == owner_before || owner_after.value == 8U));
        moved += owner_after == owner_before ? 0 : 1;
    }
    BOOST_TEST(moved > flows / 8 * 9 / 10);
    BOOST_TEST(moved < flows / 8 * 11 / 10);
}

BOOST_AUTO_TEST_CASE(is_watcher_agrees_with_the_chosen_watchers)
{
    std::vector<instance_id> entries;
    for (std::uint64_t i = 1; i <= 50; ++i)
    {
        entries.push_back({i});
    }
    for (std::uint64_t watched = 40; watched < 80; ++watched)
    {
        const auto chosen = detail::choose_watchers({watched}, entries);
        for (const instance_id id : entries)
        {
            const bool listed =
                std::find(chosen.begin(), chosen.end(), id) != chosen.end();
            BOOST_TEST(
                detail::is_watcher(id, {watched}, entries) == listed,
                "watcher " << id.value << " of " << watched);
        }
    }
}

BOOST_AUTO_TEST_CASE(share_follows_the_weight)
{
    const std::vector<weighted_instance> members{{{1}, 1}, {{2}, 3}, {{3}, 0}};
    std::array<std::size_t, 4> counts{};
    for (std::uint32_t i = 0; i < 8000; ++i)
    {
        const std::uint64_t key = hash_flow(make_flow(i));
        ++counts.at(rank_candidates(key, members, 1).front().value);
    }
    BOOST_TEST(counts[3] == 0U);
    BOOST_TEST(counts[2] > counts[1] * 5 / 2);
    BOOST_TEST(counts[2] < counts[1] * 7 / 2);
}

BOOST_AUTO_TEST_CASE(ranks_at_most_the_available_members)
{
    BOOST_TEST(rank_candidates(1, make_members(2), 16).size() == 2U);
    BOOST_TEST(rank_candidates(1, {}, 3).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstream_choice)

BOOST_AUTO_TEST_CASE(chooses_the_least_loaded_that_admits)
{
    const std::vector<candidate_load> candidates{
        {{1}, 2, 5, 10, true}, {{2}, 0, 5, 1, false}, {{3}, 1, 5, 4, true}};
    BOOST_TEST((choose_upstream(candidates, 3) == instance_id{3}));
    BOOST_TEST((choose_upstream(candidates, 1) == instance_id{1}));
}

BOOST_AUTO_TEST_CASE(returns_nothing_if_none_admits)
{
    BOOST_TEST(!choose_upstream({{{1}, 0, 5, 0, false}}, 3));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admission)

BOOST_DATA_TEST_CASE(
    starts_at_one_and_grows_to_the_maximum,
    data::make({limit_policy::aimd, limit_policy::gradient}),
    policy)
{
    const auto limit = make_admission_limit(policy, 5);
    BOOST_TEST(limit->limit() == 1U);
    BOOST_TEST(limit_after(*limit, 3, 20ms, completion::success) < 4U);
    BOOST_TEST(limit_after(*limit, 100, 20ms, completion::success) == 5U);
}

BOOST_DATA_TEST_CASE(
    shrinks_when_requests_become_slow,
    data::make({limit_policy::aimd, limit_policy::gradient}),
    policy)
{
    const auto limit = make_admission_limit(policy, 16);
    limit_after(*limit, 600, 20ms, completion::success);
    BOOST_TEST(limit->limit() == 16U);
    BOOST_TEST(limit_after(*limit, 40, 120ms, completion::success) <= 8U);
}

BOOST_DATA_TEST_CASE(
    shrinks_on_refusals_and_timeouts,
    data::make({limit_policy::aimd, limit_policy::gradient}) *
        data::make({completion::refused, completion::timeout}),
    policy,
    end)
{
    const auto limit = make_admission_limit(policy, 8);
    limit_after(*limit, 300, 20ms, completion::success);
    BOOST_TEST(limit_after(*limit, 4, 20ms, end) == 1U);
}

BOOST_DATA_TEST_CASE(
    cold_start_returns_to_one,
    data::make({limit_policy::aimd, limit_policy::gradient}),
    policy)
{
    const auto limit = make_admission_limit(policy, 8);
    limit_after(*limit, 300, 20ms, completion::success);
    limit->on_cold_start(start);
    BOOST_TEST(limit->limit() == 1U);
}

BOOST_AUTO_TEST_CASE(does_not_grow_while_it_is_not_used)
{
    const auto limit = make_admission_limit(limit_policy::aimd, 8);
    for (int i = 0; i < 100; ++i)
    {
        limit->on_completion(start, 20ms, completion::success, 0);
    }
    BOOST_TEST(limit->limit() == 1U);
}

BOOST_AUTO_TEST_CASE(retry_budget_allows_a_fraction_of_the_requests)
{
    retry_budget budget(0.1, 5);
    std::size_t taken = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request();
        taken += budget.try_acquire() ? 1 : 0;
    }
    BOOST_TEST(taken >= 100U);
    BOOST_TEST(taken <= 106U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(flow_cache_table)

BOOST_AUTO_TEST_CASE(finds_stored_flows_but_not_erased_ones)
{
    flow_cache cache(100);
    cache.store(make_flow(1), {7});
    BOOST_TEST((cache.find(make_flow(1)) == instance_id{7}));
    cache.erase(make_flow(1));
    BOOST_TEST((cache.find(make_flow(1)) == instance_id{}));
}

BOOST_AUTO_TEST_CASE(stays_within_its_capacity)
{
    flow_cache cache(1000);
    for (std::uint32_t i = 0; i < 10'000; ++i)
    {
        cache.store(make_flow(i), {1});
    }
    BOOST_TEST(cache.size() <= 1000U);
    BOOST_TEST((cache.find(make_flow(9'999)) == instance_id{1}));
}

BOOST_AUTO_TEST_CASE(keeps_flows_that_are_used)
{
    flow_cache cache(1000);
    cache.store(make_flow(0), {9});
    for (std::uint32_t i = 1; i < 10'000; ++i)
    {
        cache.store(make_flow(i), {1});
        BOOST_REQUIRE((cache.find(make_flow(0)) == instance_id{9}));
    }
}

BOOST_AUTO_TEST_CASE(uses_at_most_96_bytes_per_flow)
{
    constexpr std::size_t flows = 400'000;
    const flow_cache cache(flows);
    BOOST_TEST(cache.memory() <= flows * 96);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(echo_token)

BOOST_AUTO_TEST_CASE(accepts_its_own_and_rejects_forged_values)
{
    const echo_issuer issuer({shared_key{1, 2, 3}});
    const echo_issuer other_issuer({shared_key{3, 2, 1}});
    const echo_claim claim{{77}, {5}, start};
    const bytes value = issuer.issue(claim);

    BOOST_TEST((issuer.verify(value) == claim));
    BOOST_TEST(!other_issuer.verify(value));
    BOOST_TEST(!issuer.verify({}));
    for (std::size_t i = 0; i < value.size(); ++i)
    {
        bytes forged = value;
        forged[i] ^= 1U;
        BOOST_TEST(!issuer.verify(forged), "octet " << i);
    }
    BOOST_TEST(value.size() == 40U);
}

BOOST_AUTO_TEST_CASE(accepts_values_of_the_former_key)
{
    const shared_key former{1, 2, 3};
    const shared_key current{3, 2, 1};
    const echo_issuer before({former});
    const echo_issuer rotated({current, former});
    const echo_claim claim{{77}, {5}, start};

    BOOST_TEST((rotated.verify(before.issue(claim)) == claim));
    BOOST_TEST(!before.verify(rotated.issue(claim)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(execution_record_store)

BOOST_AUTO_TEST_CASE(keeps_an_answer_for_the_window)
{
    execution_records records(10, 300s);
    const request_key key{make_flow(1), {1}};
    BOOST_TEST(records.begin(start, key));
    BOOST_TEST(!records.find(key)->answer);
    records.finish(start + 5s, key, {});
    records.expire(start + 304s);
    BOOST_TEST(records.find(key)->answer.has_value());
    records.expire(start + 305s);
    BOOST_TEST(records.find(key) == nullptr);
}

BOOST_AUTO_TEST_CASE(never_expires_a_request_in_progress)
{
    execution_records records(10, 300s);
    const request_key key{make_flow(1), {1}};
    records.begin(start, key);
    records.expire(start + 24h);
    BOOST_TEST(records.find(key) != nullptr);
}

BOOST_AUTO_TEST_CASE(refuses_to_begin_when_full)
{
    execution_records records(1, 300s);
    BOOST_TEST(records.begin(start, {make_flow(1), {1}}));
    BOOST_TEST(!records.begin(start, {make_flow(2), {1}}));
}

BOOST_AUTO_TEST_CASE(blocks_of_one_upload_are_different_requests)
{
    coap_message first;
    first.code = coap_code::post;
    first.set(coap_option_number::request_tag, {9});
    coap_message second = first;
    first.set_uint(coap_option_number::block1, 0x0e);
    second.set_uint(coap_option_number::block1, 0x1e);
    BOOST_TEST(
        !(make_request_key(make_flow(1), first) ==
          make_request_key(make_flow(1), second)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(member_table_merge)

namespace
{

member_record make_record(
    std::uint64_t incarnation_number, std::uint32_t version, member_state state)
{
    member_record record;
    record.id = {5};
    record.incarnation_number = {incarnation_number};
    record.version = version;
    record.state = state;
    record.service = make_service_id("meetups");
    return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(newer_record_wins_in_any_order)
{
    const auto old = make_record(1, 9, member_state::left);
    const auto fresh = make_record(2, 1, member_state::serving);
    member_table forward;
    member_table backward;
    forward.merge(old);
    forward.merge(fresh);
    backward.merge(fresh);
    BOOST_TEST(!backward.merge(old));
    BOOST_TEST((*forward.find({5}) == *backward.find({5})));
    BOOST_TEST((forward.find({5})->state == member_state::serving));
}

BOOST_AUTO_TEST_CASE(departed_members_are_not_listed)
{
    member_table table;
    table.merge(make_record(1, 1, member_state::serving));
    BOOST_TEST(table.companions_of(make_service_id("meetups")).size() == 1U);
    table.merge(make_record(1, 2, member_state::left));
    BOOST_TEST(table.companions_of(make_service_id("meetups")).empty());
}

BOOST_AUTO_TEST_CASE(a_change_of_service_moves_the_member)
{
    member_table table;
    table.merge(make_record(1, 1, member_state::serving));
    auto moved = make_record(2, 1, member_state::serving);
    moved.service = make_service_id("papers");
    table.merge(moved);
    BOOST_TEST(table.companions_of(make_service_id("meetups")).empty());
    BOOST_TEST(table.companions_of(make_service_id("papers")).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
