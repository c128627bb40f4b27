// Upstreams whose requests fail while their status is good: which of them are
// set aside, and how many tries they still get under load.

#include "entry_fixture.hpp"

#include "masticslip/flow/upstream_outliers.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

/// Answered and failed requests of the upstreams of a service.
struct counts_case
{
    const char* name;
    std::vector<outcome_counts> upstreams;
    std::vector<bool> outliers;
};

const std::vector<counts_case> counts_cases{
    {"no requests", {{0, 0}, {0, 0}}, {false, false}},
    {"two failures may be chance", {{5, 2}, {40, 0}}, {false, false}},
    {"one of two fails", {{0, 4}, {40, 0}}, {true, false}},
    {"one fails, and the other has no requests",
     {{0, 3}, {0, 0}},
     {false, false}},
    {"half of the answers fail",
     {{15, 15}, {40, 1}, {40, 0}},
     {true, false, false}},
    {"all fail", {{1, 30}, {0, 40}, {2, 35}}, {false, false, false}},
    {"most fail", {{0, 30}, {0, 30}, {30, 0}}, {false, false, false}},
    {"half of them fail",
     {{0, 20}, {0, 20}, {40, 0}, {40, 0}},
     {true, true, false, false}},
    {"invalid requests fail everywhere",
     {{30, 10}, {33, 8}, {28, 12}, {35, 9}},
     {false, false, false, false}},
    {"one is worse than invalid requests explain",
     {{2, 40}, {33, 8}, {28, 9}, {35, 9}},
     {true, false, false, false}}};

std::ostream& operator<<(std::ostream& stream, const counts_case& item)
{
    return stream << item.name;
}

/// What the failing upstreams do.
enum class fault
{
    reset, ///< They end each request after 2 ms.
    hang,  ///< They never answer.
    half   ///< They end every second request.
};

/// Openings at one entry, and upstreams of which the first ones fail.
struct outlier_load
{
    const char* name;
    fault kind;
    std::uint16_t upstreams;
    std::uint16_t failing;
    /// Length of the faults and of the pauses between them.
    std::chrono::milliseconds period;
};

const std::vector<outlier_load> outlier_loads{
    {"resets", fault::reset, 10, 1, 10s},
    {"resets of two", fault::reset, 10, 2, 10s},
    {"hangs", fault::hang, 10, 1, 10s},
    {"half of the answers", fault::half, 10, 1, 10s},
    {"one of two", fault::reset, 2, 1, 10s},
    {"flaps each 300 ms", fault::reset, 10, 1, 300ms},
    {"flaps each second", fault::reset, 10, 1, 1s},
    {"flaps each 5 s", fault::reset, 10, 1, 5s}};

std::ostream& operator<<(std::ostream& stream, const outlier_load& item)
{
    return stream << item.name;
}

constexpr auto load_start = 1'000ms;
constexpr auto load_end = 9'000ms;
constexpr auto request_time = 30ms;
constexpr auto reset_time = 2ms;
constexpr auto report_interval = 250ms;
constexpr auto request_timeout = 300ms;

/// Plays a load through an entry. Upstreams have five slots and a queue that is
/// never full, and their companions answer at once.
class outlier_replay : public entry_fixture
{
public:
    explicit outlier_replay(const outlier_load& load) : load(load)
    {
        this->core.on_policy(at(0ms), test_policy(7));
        this->core.on_list_read(at(-10s));
        this->hosts.resize(load.upstreams + 1U);
        for (std::uint16_t i = 1; i <= load.upstreams; ++i)
        {
            this->core.on_message(at(0ms), companion(i), this->report(i, 0ms));
        }
    }

    void run()
    {
        for (auto now = 1ms; now <= load_end; now += 1ms)
        {
            this->finish_requests(now);
            for (std::uint16_t i = 1; i <= this->load.upstreams; ++i)
            {
                if ((now.count() + i) % report_interval.count() == 0)
                {
                    this->core.on_message(
                        at(now), companion(i), this->report(i, now));
                }
            }
            // Seven in eight are repeatable: the arrivals of 400 a second.
            const bool arrives = now.count() % 5 < 2;
            if (arrives)
            {
                this->open(now);
            }
            this->core.on_tick(at(now));
        }
    }

    [[nodiscard]] bool
    is_failing(std::uint16_t number, std::chrono::milliseconds now) const
    {
        const auto periods = (now - load_start) / this->load.period;
        return number <= this->load.failing && now >= load_start &&
               periods % 2 == 0;
    }

    /// Tries later than 500 ms after the first failures, while they last.
    std::size_t tries = 0;
    std::size_t tries_at_failing = 0;
    std::size_t failed = 0;

private:
    struct request
    {
        std::uint16_t number;
        std::chrono::milliseconds started;
        bool is_hanging;
        bool fails;
    };

    struct host
    {
        std::uint32_t in_flight = 0;
        std::uint32_t opened = 0;
        request_outcomes outcomes;
    };

    companion_report report(std::uint16_t number, std::chrono::milliseconds now)
    {
        companion_report result = ready_report(number);
        result.load = this->load_of(number, now);
        return result;
    }

    upstream_load load_of(std::uint16_t number, std::chrono::milliseconds now)
    {
        host& item = this->hosts[number];
        upstream_load result = ready_report(number).load;
        result.in_flight = item.in_flight;
        result.outcomes = item.outcomes.recent(at(now));
        return result;
    }

    void open(std::chrono::milliseconds now)
    {
        const flow_endpoints flow = test_flow(++this->flow_number);
        const std::size_t before = this->output.packets.size();
        this->core.on_caller_packet(at(now), opening_packet(flow));
        if (this->output.packets.size() == before)
        {
            return;
        }
        const auto number = static_cast<std::uint16_t>(
            this->output.packets.back().address - 0x0A020000U);
        host& item = this->hosts[number];
        const bool fails =
            this->is_failing(number, now) &&
            (this->load.kind != fault::half || item.opened % 2 == 0);
        ++item.opened;
        ++item.in_flight;
        const bool hangs = fails && this->load.kind == fault::hang;
        const auto duration = hangs   ? request_timeout
                              : fails ? reset_time
                                      : request_time;
        this->pending.emplace(
            now + duration, request{number, now, hangs, fails});
        if (now > load_start + 500ms)
        {
            ++this->tries;
            this->tries_at_failing += this->is_failing(number, now) ? 1 : 0;
        }
        this->failed += fails ? 1 : 0;
        this->core.on_message(
            at(now), companion(number),
            flow_opened{flow, 1, this->load_of(number, now)});
    }

    void finish_requests(std::chrono::milliseconds now)
    {
        while (!this->pending.empty() && this->pending.begin()->first <= now)
        {
            const request done = this->pending.begin()->second;
            this->pending.erase(this->pending.begin());
            host& item = this->hosts[done.number];
            --item.in_flight;
            if (!done.fails)
            {
                item.outcomes.on_answered(at(now));
                continue;
            }
            item.outcomes.on_failed(at(now));
            if (item.outcomes.recent(at(now)).failed == min_outlier_failures)
            {
                this->core.on_message(
                    at(now), companion(done.number),
                    this->report(done.number, now));
            }
        }
    }

    outlier_load load;
    std::vector<host> hosts;
    std::multimap<std::chrono::milliseconds, request> pending;
    std::uint16_t flow_number = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_outliers)

BOOST_DATA_TEST_CASE(
    upstreams_are_compared_with_the_others,
    boost::unit_test::data::make(counts_cases),
    item)
{
    std::vector<compared_upstream> compared;
    for (const outcome_counts& counts : item.upstreams)
    {
        compared.push_back({counts, false});
    }
    BOOST_TEST(
        find_outliers(compared) == item.outliers,
        boost::test_tools::per_element());
}

namespace
{

/// An upstream that was set aside, beside one that answers all.
struct recovery_case
{
    const char* name;
    outcome_counts outcomes;
    bool is_outlier;
};

const std::vector<recovery_case> recovery_cases{
    {"its failures are nearly forgotten", {0, 1}, true},
    {"it answers as many probes as it fails", {2, 2}, true},
    {"it answers most probes", {4, 2}, false},
    {"it was not tried", {0, 0}, false},
    {"it fails again", {9, 3}, true}};

std::ostream& operator<<(std::ostream& stream, const recovery_case& item)
{
    return stream << item.name;
}

} // namespace

BOOST_DATA_TEST_CASE(
    an_outlier_remains_one_until_it_answers,
    boost::unit_test::data::make(recovery_cases),
    item)
{
    const std::vector<compared_upstream> compared{
        {item.outcomes, true}, {{40, 0}, false}};
    BOOST_TEST(find_outliers(compared)[0] == item.is_outlier);
}

BOOST_AUTO_TEST_CASE(counts_of_requests_halve_each_half_life)
{
    request_outcomes outcomes;
    for (int i = 0; i < 8; ++i)
    {
        outcomes.on_failed(at(0ms));
    }
    outcomes.on_answered(at(0ms));
    BOOST_TEST((outcomes.recent(at(0ms)) == outcome_counts{1, 8}));
    BOOST_TEST((outcomes.recent(at(1s)).failed == 4));
    BOOST_TEST((outcomes.recent(at(3s)) == outcome_counts{0, 1}));
}

// Without the comparison an upstream that resets its flows gets more than a
// third of all tries: it has no request in flight.
BOOST_DATA_TEST_CASE(
    a_failing_upstream_gets_few_tries,
    boost::unit_test::data::make(outlier_loads),
    item)
{
    outlier_replay replay(item);
    replay.run();
    BOOST_REQUIRE(replay.tries > 2'000U);
    const std::size_t limit = replay.tries * item.failing / 50;
    BOOST_TEST(
        replay.tries_at_failing <= limit,
        replay.tries_at_failing << " of " << replay.tries << " tries, "
                                << replay.failed << " failed");
}

BOOST_AUTO_TEST_CASE(a_recovered_upstream_gets_its_part_of_the_flows_again)
{
    outlier_replay replay({"resets", fault::reset, 4, 1, 5s});
    replay.run();
    const auto events = replay.events.count(flow_event_kind::upstream_changed);
    BOOST_TEST(events >= 2U);
    BOOST_TEST(!replay.core.companions().find(companion(1))->is_outlier);
}

BOOST_AUTO_TEST_SUITE_END()
