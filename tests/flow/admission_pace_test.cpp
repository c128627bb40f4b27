// How the number of requests in flight that a companion admits follows the
// answers of upstreams with different and changing speeds.

#include "companion_fixture.hpp"

#include "masticslip/flow/admission_pace.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

constexpr std::uint32_t slots = 3;

/// An upstream that serves requests in order on its slots, with as many
/// requests in flight as the pace and the demand allow.
struct busy_upstream
{
    /// Runs until `end`; calls `check` after each answer.
    template <class Check>
    void run(time_point end, Check check)
    {
        while (this->now < end)
        {
            while (this->in_flight.size() <
                   std::min(this->pace.limit(slots), this->demand))
            {
                this->send();
            }
            const auto next = this->in_flight.extract(this->in_flight.begin());
            this->now = next.value().first;
            this->pace.on_answered(this->now, next.value().second);
            check();
        }
    }

    void run(time_point end)
    {
        this->run(end, [] {});
    }

    void send()
    {
        const auto slot =
            std::min_element(this->free_at.begin(), this->free_at.end());
        const bool is_slow = this->has_tail && std::uniform_int_distribution(
                                                   1, 100)(this->random) <= 3;
        *slot = std::max(*slot, this->now) + this->service * (is_slow ? 7 : 1);
        const auto in_progress =
            static_cast<std::uint32_t>(this->in_flight.size() + 1);
        this->in_flight.insert(
            {*slot, answered_request{
                        this->now, *slot - this->now, in_progress, slots}});
    }

    struct by_time
    {
        bool operator()(const auto& first, const auto& second) const
        {
            return first.first < second.first;
        }
    };

    admission_pace pace;
    duration service = 30ms;
    std::uint32_t demand = 100;
    bool has_tail = false;
    time_point now = at(0ms);
    std::array<time_point, slots> free_at{};
    std::multiset<std::pair<time_point, answered_request>, by_time> in_flight;
    std::mt19937_64 random{1};
};

/// An upstream that starts with more demand than it can serve.
struct ramp_case
{
    const char* name;
    std::chrono::milliseconds service;
    std::chrono::milliseconds target;
    bool has_tail;
    /// Smallest and largest limit from 2 s on.
    std::uint32_t least;
    std::uint32_t most;
};

std::ostream& operator<<(std::ostream& stream, const ramp_case& value)
{
    return stream << value.name;
}

const std::vector<ramp_case> ramp_cases{
    {"a_fast_one", 18ms, 250ms, false, 6, 6},
    {"a_usual_one", 30ms, 250ms, false, 6, 6},
    {"a_slow_one_of_a_slow_route", 63ms, 800ms, false, 6, 6},
    {"a_slow_one_of_a_fast_route", 63ms, 250ms, false, 3, 6},
    {"one_that_is_slower_than_the_target", 200ms, 250ms, false, 3, 3},
    {"without_a_target", 63ms, 0ms, false, 6, 6},
    {"a_fast_one_with_slow_requests", 18ms, 300ms, true, 6, 6}};

/// A change of speed at 5 s, with a target of 250 ms.
struct change_case
{
    const char* name;
    std::chrono::milliseconds before;
    std::chrono::milliseconds after;
    std::uint32_t limit_at_end;
};

std::ostream& operator<<(std::ostream& stream, const change_case& value)
{
    return stream << value.name;
}

const std::vector<change_case> change_cases{
    {"twice_as_slow", 20ms, 40ms, 6},
    {"four_times_as_slow", 30ms, 120ms, 3},
    {"faster", 60ms, 20ms, 6}};

/// A companion with five slots whose upstream answers requests of one flow.
struct paced_fixture : companion_fixture
{
    paced_fixture()
    {
        this->make_ready();
        this->open(test_flow(1), at(10ms));
        this->answer_requests(30);
    }

    /// The first request was sent already; each takes 10 ms.
    void answer_requests(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            this->now += 10ms;
            flow_packet answer = data_packet(
                test_flow(1), this->upstream_next, this->caller_next);
            answer.origin = packet_origin::upstream;
            this->core.on_upstream_packet(at(this->now), answer);
            this->upstream_next += 100;
            this->caller_next += 100;
            this->core.on_caller_packet(
                at(this->now), entry,
                data_packet(
                    test_flow(1), this->caller_next, this->upstream_next));
        }
    }

    /// Requests in flight when 40 flows have been opened.
    std::uint32_t in_flight_with_many_flows()
    {
        for (std::uint16_t i = 100; i < 140; ++i)
        {
            this->open(test_flow(i), at(this->now));
        }
        return this->core.load(at(this->now)).in_flight;
    }

    std::chrono::milliseconds now = 10ms;
    std::uint32_t upstream_next = upstream_sequence + 1;
    std::uint32_t caller_next = 1'001;
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission_pace_rules)

BOOST_DATA_TEST_CASE(
    the_limit_reaches_what_the_upstream_sustains_within_two_seconds,
    boost::unit_test::data::make(ramp_cases),
    item)
{
    busy_upstream upstream;
    upstream.pace.set_target(item.target);
    upstream.service = item.service;
    upstream.has_tail = item.has_tail;
    BOOST_TEST(upstream.pace.limit(slots) == 2 * slots);
    upstream.run(at(2s));
    std::uint32_t least = 100;
    std::uint32_t most = 0;
    upstream.run(
        at(60s),
        [&]
        {
            least = std::min(least, upstream.pace.limit(slots));
            most = std::max(most, upstream.pace.limit(slots));
        });
    BOOST_TEST(least >= item.least);
    BOOST_TEST(most <= item.most);
}

BOOST_DATA_TEST_CASE(
    a_slower_upstream_has_no_more_waiting_than_its_target_allows,
    boost::unit_test::data::make(change_cases),
    item)
{
    constexpr auto target = 250ms;
    busy_upstream upstream;
    upstream.pace.set_target(target);
    upstream.service = item.before;
    upstream.run(at(5s));
    upstream.service = item.after;
    // Two rounds at the new speed show it.
    upstream.run(at(6'500ms));
    upstream.run(
        at(60s),
        [&]
        {
            const duration wait =
                upstream.service * upstream.pace.limit(slots) / slots;
            BOOST_TEST((wait <= target));
        });
    BOOST_TEST(upstream.pace.limit(slots) >= item.limit_at_end);
}

namespace
{

/// Slots, times, and the requests in flight that keep the slots busy.
struct busy_case
{
    const char* name;
    std::uint32_t slots;
    std::chrono::milliseconds service;
    std::chrono::milliseconds opening;
    std::uint32_t limit;
};

std::ostream& operator<<(std::ostream& stream, const busy_case& value)
{
    return stream << value.name;
}

const std::vector<busy_case> busy_cases{
    {"near entries", 5, 33ms, 1ms, 10},
    {"distant entries", 5, 33ms, 6ms, 11},
    {"two slots", 2, 33ms, 4ms, 5},
    {"short requests", 5, 5ms, 4ms, 17},
    {"many slots", 100, 33ms, 4ms, 144}};

} // namespace

BOOST_DATA_TEST_CASE(
    no_more_is_admitted_than_keeps_the_slots_busy,
    boost::unit_test::data::make(busy_cases),
    item)
{
    admission_pace pace;
    pace.on_first_request(item.opening);
    for (std::uint32_t i = 0; i < 20 * item.slots + 200; ++i)
    {
        const auto now = at(std::chrono::milliseconds(i + 1'000));
        pace.on_answered(now, {now - 1ms, item.service, 1, item.slots});
    }
    BOOST_TEST(pace.limit(item.slots) == item.limit);
}

BOOST_AUTO_TEST_CASE(slow_requests_do_not_halve_the_pace)
{
    // Two requests per slot, 3 of 100 seven times as long.
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        busy_upstream upstream;
        upstream.random.seed(seed);
        upstream.pace.set_target(250ms);
        upstream.run(at(2s));
        upstream.has_tail = true;
        upstream.demand = 2 * slots;
        std::uint32_t least = 100;
        bool was_halved = false;
        upstream.run(
            at(200s),
            [&]
            {
                least = std::min(least, upstream.pace.limit(slots));
                was_halved = was_halved || upstream.pace.last_change() ==
                                               pace_change::answers_late;
            });
        BOOST_TEST(!was_halved);
        BOOST_TEST(least >= 6U);
    }
}

BOOST_AUTO_TEST_CASE(a_bounce_halves_the_pace_once_for_openings_sent_together)
{
    busy_upstream upstream;
    upstream.run(at(2s));
    admission_pace& pace = upstream.pace;
    pace.on_first_request(100ms);
    BOOST_TEST(pace.limit(slots) == 4 * slots);
    for (int i = 0; i < 3; ++i)
    {
        pace.on_bounced(at(2'101ms), at(2'100ms));
    }
    BOOST_TEST(pace.limit(slots) == 2 * slots);
    BOOST_TEST((pace.last_change() == pace_change::bounce));
    pace.on_bounced(at(2'201ms), at(2'200ms));
    pace.on_bounced(at(2'301ms), at(2'300ms));
    BOOST_TEST(pace.limit(slots) == slots);
}

BOOST_AUTO_TEST_CASE(a_restart_begins_with_two_requests_for_each_slot)
{
    busy_upstream upstream;
    upstream.run(at(2s));
    upstream.pace.restart(upstream.now, pace_change::new_incarnation);
    BOOST_TEST(upstream.pace.limit(slots) == 2 * slots);
    BOOST_TEST(to_string(upstream.pace.last_change()) == "new_incarnation");
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_admits_what_keeps_the_slots_of_a_steady_upstream_busy,
    paced_fixture)
{
    BOOST_TEST(in_flight_with_many_flows() == 9U);
    BOOST_TEST(core.load(at(now)).in_flight_limit == 9U);
    BOOST_TEST(
        to_string(refusal()) ==
        std::string(to_string(result_code::not_run_overloaded)));
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_admits_two_requests_for_each_slot_of_a_new_incarnation,
    paced_fixture)
{
    upstream_status status = ready_status(1);
    status.incarnation.started += 1'000ms;
    core.on_departure(at(now), ready_status(1).incarnation);
    core.on_status(at(now), status);
    BOOST_TEST(!core.load(at(now)).on_probation);
    BOOST_TEST(in_flight_with_many_flows() == 10U);
}

BOOST_FIXTURE_TEST_CASE(
    a_bounced_opening_halves_what_a_companion_admits, paced_fixture)
{
    now += 10ms;
    core.on_caller_packet(at(now), entry, opening_packet(test_flow(50)));
    core.on_upstream_packet(at(now), bounced(opening_packet(test_flow(50))));
    // The backoff of openings ends with the next one that is accepted.
    now += 100ms;
    open(test_flow(51), at(now));
    BOOST_TEST(in_flight_with_many_flows() == 5U);
}

BOOST_FIXTURE_TEST_CASE(
    a_companion_admits_one_request_for_each_slot_after_a_silence, paced_fixture)
{
    for (auto time = now; time < 1'300ms; time += 250ms)
    {
        core.on_tick(at(time));
    }
    now = 1'300ms;
    answer_requests(1);
    BOOST_TEST(core.load(at(now)).on_probation);
    BOOST_TEST(in_flight_with_many_flows() == 5U);
}

BOOST_FIXTURE_TEST_CASE(
    the_cold_rate_bounds_new_flows_at_any_pace, paced_fixture)
{
    core.on_policy(at(now), test_policy(8, {}, 4.0));
    upstream_status status = ready_status(2);
    status.cold_for = 2'000ms;
    core.on_status(at(now), status);
    const std::size_t before = output.to_upstream;
    for (std::uint16_t i = 100; i < 140; ++i)
    {
        core.on_caller_packet(at(now), entry, opening_packet(test_flow(i)));
    }
    // One of four is taken by the flow that is open.
    BOOST_TEST(output.to_upstream - before == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
