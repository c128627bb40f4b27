// Checks that the node clock follows CLOCK_BOOTTIME and is monotonic.

#include "node/node_clock.hpp"

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace masticslip;

namespace
{

/// Allowed time between the two clock readings of a comparison.
constexpr std::chrono::milliseconds reading_limit{50};

duration read_clock(clockid_t id)
{
    timespec value{};
    ::clock_gettime(id, &value);
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(value.tv_sec) +
        std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_clock)

// Distinguishes CLOCK_BOOTTIME from CLOCK_MONOTONIC only on machines that have
// been suspended since boot.
BOOST_AUTO_TEST_CASE(includes_time_spent_suspended)
{
    const duration before = read_clock(CLOCK_BOOTTIME);
    const duration now = node_now().time_since_epoch();
    BOOST_TEST(now.count() >= before.count());
    BOOST_TEST(
        (now - before).count() <= duration(reading_limit).count(),
        "clock differs by " << (now - before).count() << " us");
}

BOOST_AUTO_TEST_CASE(is_monotonic)
{
    time_point last = node_now();
    for (int i = 0; i < 1'000; ++i)
    {
        const time_point now = node_now();
        BOOST_TEST_REQUIRE((now >= last));
        last = now;
    }
}

BOOST_AUTO_TEST_SUITE_END()
