// Delays with which changes in the store are read.

#include "batching_delay.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace masticslip;
using namespace std::chrono_literals;

namespace
{

/// Changes at these times and the delays after them.
struct delay_case
{
    const char* name;
    std::chrono::milliseconds longest;
    std::vector<std::chrono::milliseconds> changes;
    std::vector<std::chrono::milliseconds> delays;
};

const std::vector<delay_case> delay_cases{
    {"all companions register after an outage",
     1s,
     {0ms, 60ms, 170ms, 400ms, 900ms, 1'800ms},
     {50ms, 100ms, 200ms, 400ms, 800ms, 1s}},
    {"a rolling restart goes on",
     1s,
     {0ms, 1s, 2s, 3s, 4s, 5s, 6s},
     {50ms, 100ms, 200ms, 400ms, 800ms, 1s, 1s}},
    {"a change after a quiet time",
     1s,
     {0ms, 60ms, 2'061ms},
     {50ms, 100ms, 50ms}},
    {"a short limit", 20ms, {0ms, 10ms}, {20ms, 20ms}},
    {"no delay", 0ms, {0ms, 1ms}, {0ms, 0ms}}};

std::ostream& operator<<(std::ostream& stream, const delay_case& item)
{
    return stream << item.name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batching_delays)

BOOST_DATA_TEST_CASE(
    the_first_changes_are_read_soon,
    boost::unit_test::data::make(delay_cases),
    item)
{
    batching_delay delay(item.longest);
    const time_point start(1h);
    for (std::size_t i = 0; i < item.changes.size(); ++i)
    {
        BOOST_TEST(
            delay.next(start + item.changes[i]).count() ==
            item.delays[i].count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
