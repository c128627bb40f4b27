// Measured time of a request at work: what counts as a request and its answer,
// and what the median ignores.

#include "companion_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

namespace
{

/// Answers to 100 requests with a regular time.
struct median_case
{
    const char* name;
    std::uint32_t slots;
    std::uint32_t in_progress;
    std::chrono::milliseconds time;
    /// Each request of this number takes seven times as long; zero: none.
    int slow_each;
    std::chrono::milliseconds expected;
};

std::ostream& operator<<(std::ostream& stream, const median_case& value)
{
    return stream << value.name;
}

const std::vector<median_case> median_cases{
    {"one_at_a_time", 3, 1, 40ms, 0, 40ms},
    {"all_slots_busy", 3, 3, 40ms, 0, 40ms},
    {"three_of_a_hundred_are_slow", 3, 3, 40ms, 33, 40ms},
    {"the_time_in_the_queue_is_taken_out", 3, 12, 160ms, 0, 40ms},
    {"a_queue_and_slow_requests", 3, 6, 80ms, 33, 40ms},
    {"one_slot", 1, 2, 60ms, 0, 30ms}};

/// Packets of the flow with this port.
flow_packet request(std::uint16_t port, std::uint32_t sequence = 1'001)
{
    return data_packet(test_flow(port), sequence, upstream_sequence + 1);
}

flow_packet answer(std::uint16_t port, std::uint32_t sequence = 1)
{
    flow_packet packet =
        data_packet(test_flow(port), upstream_sequence + sequence, 1'101);
    packet.origin = packet_origin::upstream;
    return packet;
}

/// What happens after a flow was opened and its first request sent at 10 ms.
struct request_case
{
    const char* name;
    void (*play)(companion_flow_core&);
    std::uint32_t samples;
    std::chrono::microseconds time;
};

std::ostream& operator<<(std::ostream& stream, const request_case& value)
{
    return stream << value.name;
}

const std::vector<request_case> request_cases{
    {"an_answer",
     [](companion_flow_core& core)
     { core.on_upstream_packet(at(45ms), answer(1)); },
     1, 35ms},
    {"a_retransmitted_request_starts_at_its_first_copy",
     [](companion_flow_core& core)
     {
         core.on_caller_packet(at(30ms), entry, request(1));
         core.on_upstream_packet(at(45ms), answer(1));
     },
     1, 35ms},
    {"a_request_of_several_packets_starts_at_the_last",
     [](companion_flow_core& core)
     {
         core.on_caller_packet(at(30ms), entry, request(1, 1'101));
         core.on_upstream_packet(at(45ms), answer(1));
     },
     1, 15ms},
    {"an_answer_of_several_packets_counts_once",
     [](companion_flow_core& core)
     {
         core.on_upstream_packet(at(45ms), answer(1));
         core.on_upstream_packet(at(95ms), answer(1, 101));
     },
     1, 35ms},
    {"a_retransmitted_answer_is_none_to_the_next_request",
     [](companion_flow_core& core)
     {
         core.on_upstream_packet(at(45ms), answer(1));
         core.on_upstream_packet(at(46ms), answer(1, 101));
         core.on_caller_packet(at(500ms), entry, request(1, 1'101));
         core.on_upstream_packet(at(501ms), answer(1));
     },
     1, 35ms},
    {"an_idle_time_between_requests_does_not_count",
     [](companion_flow_core& core)
     {
         core.on_upstream_packet(at(45ms), answer(1));
         core.on_caller_packet(at(700ms), entry, request(1, 1'101));
         core.on_upstream_packet(at(735ms), answer(1, 101));
     },
     2, 35ms},
    {"an_acknowledgement_is_no_answer",
     [](companion_flow_core& core)
     {
         flow_packet packet = answer(1);
         packet.payload_size = 0;
         core.on_upstream_packet(at(15ms), packet);
         core.on_upstream_packet(at(45ms), answer(1));
     },
     1, 35ms},
    {"a_new_incarnation_discards_the_samples",
     [](companion_flow_core& core)
     {
         core.on_upstream_packet(at(45ms), answer(1));
         upstream_status status = ready_status(1);
         status.incarnation.started += 1'000ms;
         core.on_status(at(50ms), status);
     },
     0, 0ms}};

} // namespace

BOOST_AUTO_TEST_SUITE(service_time_rules)

BOOST_DATA_TEST_CASE(
    the_median_is_the_time_at_work,
    boost::unit_test::data::make(median_cases),
    item)
{
    service_time times;
    auto now = 0ms;
    for (int i = 1; i <= 100; ++i)
    {
        const bool is_slow = item.slow_each != 0 && i % item.slow_each == 0;
        now += item.time;
        times.on_answered(
            at(now), {at(now - item.time), item.time * (is_slow ? 7 : 1),
                      item.in_progress, item.slots});
        BOOST_TEST((times.median() == item.expected));
    }
    BOOST_TEST(times.samples() == 31U);
    times.clear();
    BOOST_TEST(times.samples() == 0U);
    BOOST_TEST(times.median().count() == 0);
}

BOOST_AUTO_TEST_CASE(the_median_follows_a_change_of_speed)
{
    service_time times;
    for (int i = 0; i < 31; ++i)
    {
        times.on_answered(at(i * 40ms), {{}, 40ms, 1, 3});
    }
    for (int i = 0; i < 16; ++i)
    {
        times.on_answered(at(2s + i * 120ms), {{}, 120ms, 1, 3});
    }
    BOOST_TEST((times.median() == 120ms));
}

BOOST_AUTO_TEST_CASE(answers_are_counted_for_a_second)
{
    service_time times;
    for (int i = 0; i < 20; ++i)
    {
        times.on_answered(at(i * 100ms), {{}, 40ms, 1, 3});
    }
    BOOST_TEST(times.finished_per_second(at(1'900ms)) == 10U);
    BOOST_TEST(times.finished_per_second(at(2'450ms)) == 5U);
    BOOST_TEST(times.finished_per_second(at(4s)) == 0U);
}

BOOST_DATA_TEST_CASE_F(
    companion_fixture,
    a_companion_reports_how_long_requests_take,
    boost::unit_test::data::make(request_cases),
    item)
{
    make_ready();
    BOOST_TEST(core.load(at(0ms)).request_samples == 0U);
    open(test_flow(1), at(10ms));
    item.play(core);
    const upstream_load load = core.load(at(740ms));
    BOOST_TEST(load.request_samples == item.samples);
    BOOST_TEST(load.request_time.count() == item.time.count());
    BOOST_TEST(load.finished_per_second == item.samples);
}

BOOST_AUTO_TEST_SUITE_END()
