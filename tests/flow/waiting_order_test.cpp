// Order of the openings of a route that wait for free capacity.

#include "masticslip/flow/waiting_order.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace std::chrono_literals;

namespace
{

/// Arrival time of an opening, and the properties of its route.
struct arrival
{
    std::chrono::milliseconds first_seen;
    std::chrono::milliseconds target_latency;
};

/// Arrivals, and their indices in the order of placement at 1,000 ms.
struct order_case
{
    const char* name;
    std::vector<arrival> arrivals;
    std::vector<std::uint16_t> order;
};

std::ostream& operator<<(std::ostream& stream, const order_case& value)
{
    return stream << value.name;
}

const std::vector<order_case> order_cases{
    {"the_earliest_deadline_goes_first",
     {{950ms, 200ms}, {900ms, 500ms}, {960ms, 150ms}},
     {2, 0, 1}},
    {"openings_past_their_deadline_go_last",
     {{500ms, 200ms}, {990ms, 200ms}},
     {1, 0}},
    {"openings_past_their_deadline_keep_the_order_of_arrival",
     {{600ms, 200ms}, {500ms, 200ms}, {700ms, 100ms}},
     {1, 0, 2}},
    {"equal_openings_go_in_order_of_arrival",
     {{900ms, 200ms}, {900ms, 200ms}, {900ms, 200ms}},
     {0, 1, 2}}};

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_order)

BOOST_DATA_TEST_CASE(
    sorts_by_deadline_and_arrival,
    boost::unit_test::data::make(order_cases),
    item)
{
    const time_point start{std::chrono::hours(1)};
    std::vector<waiting_opening> openings;
    openings.reserve(item.arrivals.size());
    for (std::size_t i = 0; i < item.arrivals.size(); ++i)
    {
        const arrival& source = item.arrivals[i];
        waiting_opening opening;
        // The address must not decide: it falls while the arrivals rise.
        opening.flow.caller.address = 1'000U - static_cast<std::uint32_t>(i);
        opening.flow.caller.port = static_cast<std::uint16_t>(i);
        opening.arrival = i;
        opening.first_seen = start + source.first_seen;
        opening.target_latency = source.target_latency;
        openings.push_back(opening);
    }

    sort_waiting(start + 1'000ms, openings);

    std::vector<std::uint16_t> order;
    for (const auto& opening : openings)
    {
        order.push_back(opening.flow.caller.port);
    }
    BOOST_TEST(order == item.order, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
