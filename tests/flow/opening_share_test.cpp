// Shares of routes, and turns of caller addresses, among waiting openings.

#include "masticslip/flow/opening_share.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

/// Openings that wait at one entry.
class waiting_line
{
public:
    /// A route's openings, each of another caller address.
    void add(std::uint16_t route, std::uint32_t priority, int count)
    {
        for (int i = 0; i < count; ++i)
        {
            this->add_one(route, priority, ++this->last_address);
        }
    }

    void
    add_one(std::uint16_t route, std::uint32_t priority, std::uint32_t address)
    {
        waiting_opening item;
        item.arrival = ++this->last_arrival;
        item.flow = {
            {address, static_cast<std::uint16_t>(item.arrival)}, {1, route}};
        item.first_seen = start + std::chrono::milliseconds(item.arrival);
        item.target_latency = 300ms;
        item.priority = priority;
        this->openings.push_back(item);
    }

    /// Places the first one and returns it.
    waiting_opening place()
    {
        this->share.sort(start, this->openings);
        const waiting_opening first = this->openings.front();
        this->share.on_placed(first.flow);
        this->openings.erase(this->openings.begin());
        return first;
    }

    /// Numbers of places of routes 0 to 5 among the next `count`.
    std::vector<int> place_by_route(int count)
    {
        std::vector<int> result(6);
        for (int i = 0; i < count; ++i)
        {
            ++result[this->place().flow.target.port];
        }
        return result;
    }

    /// Addresses of the next `count` places.
    std::vector<std::uint32_t> place_by_address(int count)
    {
        std::vector<std::uint32_t> result;
        for (int i = 0; i < count; ++i)
        {
            result.push_back(this->place().flow.caller.address);
        }
        return result;
    }

    opening_share share;
    std::vector<waiting_opening> openings;

private:
    std::uint64_t last_arrival = 0;
    std::uint32_t last_address = 1'000;
};

/// Priorities of waiting routes and their shares.
struct share_case
{
    const char* name;
    std::vector<std::uint32_t> priorities;
    std::vector<double> shares;
};

std::ostream& operator<<(std::ostream& stream, const share_case& value)
{
    return stream << value.name;
}

const std::vector<share_case> share_cases{
    {"none", {}, {}},
    {"a_single_route_gets_all", {7}, {1}},
    {"equal_priorities", {3, 3}, {0.5, 0.5}},
    {"the_highest_priority_gets_the_rest", {2, 0, 1}, {0.1, 0.8, 0.1}},
    {"at_least_a_tenth", {0, 6}, {0.9, 0.1}},
    {"two_of_the_highest_divide_the_rest", {1, 9, 1}, {0.45, 0.1, 0.45}},
    {"several_of_the_highest_and_of_others",
     {0, 0, 3, 3, 4, 4},
     {0.3, 0.3, 0.1, 0.1, 0.1, 0.1}},
    {"the_largest_difference", {0, 1'000}, {0.9, 0.1}},
    {"more_than_ten_routes_are_equal", std::vector<std::uint32_t>(12, 4),
     std::vector<double>(12, 1 / 12.0)}};

} // namespace

BOOST_AUTO_TEST_SUITE(opening_share_test)

BOOST_DATA_TEST_CASE(
    routes_share_by_priority_with_a_floor,
    boost::unit_test::data::make(share_cases),
    item)
{
    const std::vector<double> shares = route_shares(item.priorities);

    BOOST_REQUIRE(shares.size() == item.shares.size());
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        BOOST_TEST(std::abs(shares[i] - item.shares[i]) < 0.001);
    }
}

BOOST_AUTO_TEST_CASE(places_follow_the_shares)
{
    waiting_line line;
    line.add(0, 0, 100);
    line.add(1, 1, 100);
    line.add(2, 6, 100);

    const std::vector<int> places = line.place_by_route(100);

    BOOST_TEST(
        places == (std::vector<int>{80, 10, 10, 0, 0, 0}),
        boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_idle_share_is_used_by_others_and_not_saved_up)
{
    waiting_line line;
    line.add(0, 0, 100);
    BOOST_TEST(line.place_by_route(40)[0] == 40);
    line.add(1, 0, 100);

    const std::vector<int> places = line.place_by_route(20);

    BOOST_TEST(places[0] == 10);
    BOOST_TEST(places[1] == 10);
}

// Guards against a route that opens one flow at a time and gets each place.
BOOST_AUTO_TEST_CASE(
    a_route_that_waits_now_and_then_gets_no_more_than_its_share)
{
    waiting_line line;
    line.add(0, 0, 200);
    std::vector<int> places(2);
    for (int i = 0; i < 100; ++i)
    {
        const bool is_waiting = std::any_of(
            line.openings.begin(), line.openings.end(),
            [](const waiting_opening& item)
            { return item.flow.target.port == 1; });
        if (!is_waiting)
        {
            line.add(1, 6, 1);
        }
        ++places[line.place().flow.target.port];
    }
    BOOST_TEST(places[1] <= 11);
    BOOST_TEST(places[1] >= 9);
}

BOOST_AUTO_TEST_CASE(a_refused_placement_does_not_count)
{
    waiting_line line;
    line.add(0, 0, 100);
    line.add(1, 0, 100);
    std::vector<int> places(2);
    for (int i = 0; i < 60; ++i)
    {
        const waiting_opening item = line.place();
        // Companions refuse every second opening of route 1.
        if (item.flow.target.port == 1 && i % 4 < 2)
        {
            line.share.on_returned(item.flow);
            line.openings.push_back(item);
            continue;
        }
        ++places[item.flow.target.port];
    }
    BOOST_TEST(std::abs(places[0] - places[1]) <= 2);
}

BOOST_AUTO_TEST_CASE(a_caller_address_has_one_place_before_any_has_two)
{
    waiting_line line;
    for (int i = 0; i < 50; ++i)
    {
        line.add_one(0, 0, 1);
    }
    line.add_one(0, 0, 2);
    line.add_one(0, 0, 3);

    BOOST_TEST(
        line.place_by_address(4) == (std::vector<std::uint32_t>{1, 2, 3, 1}),
        boost::test_tools::per_element());

    // An address that begins to wait goes before those that had their place.
    line.add_one(0, 0, 4);
    line.add_one(0, 0, 2);
    BOOST_TEST(
        line.place_by_address(3) == (std::vector<std::uint32_t>{4, 2, 1}),
        boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(turns_of_callers_do_not_cross_routes)
{
    waiting_line line;
    line.add_one(0, 0, 1);
    line.add_one(1, 0, 1);
    line.add_one(1, 0, 2);
    line.place();
    BOOST_TEST(line.place().flow.target.port == 1);
    BOOST_TEST(line.place().flow.caller.address == 2U);
}

BOOST_AUTO_TEST_CASE(the_order_does_not_depend_on_the_value_of_an_address)
{
    std::vector<std::uint64_t> orders[2];
    for (const int pass : {0, 1})
    {
        waiting_line line;
        for (std::uint32_t i = 0; i < 20; ++i)
        {
            line.add_one(0, 0, pass == 0 ? i : 1'000 - i);
        }
        for (std::uint32_t i = 0; i < 20; ++i)
        {
            orders[pass].push_back(line.place().arrival);
        }
    }
    BOOST_TEST(orders[0] == orders[1], boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
