// Checks that services which routes named before stay known, within bounds, and
// that a reached bound is not taken for completeness.

#include "masticslip/flow/former_services.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;

BOOST_AUTO_TEST_SUITE(former_service_rules)

namespace
{

endpoint target(std::size_t number)
{
    return {static_cast<std::uint32_t>(0xC6120000U + number), 443};
}

/// Routes `first` to `first + count - 1`, all to this service.
policy
policy_of(const std::string& service, std::size_t count, std::size_t first = 0)
{
    configuration value;
    for (std::size_t i = first; i < first + count; ++i)
    {
        route_definition route;
        route.address = target(i);
        route.service = service;
        value.routes.push_back(route);
    }
    return {store_position{0, 1}, std::move(value)};
}

} // namespace

BOOST_AUTO_TEST_CASE(changed_and_removed_routes_are_recorded)
{
    former_services former;
    former.record(policy_of("meetups", 3), policy_of("meetups", 2));
    BOOST_TEST(!former.contains(target(1)));
    BOOST_TEST(former.contains(target(2)));
    former.record(policy_of("meetups", 2), policy_of("papers", 2));
    former.record(policy_of("papers", 2), policy_of("meetups", 2));
    BOOST_TEST(former.of(target(1)).size() == 2U);
    BOOST_TEST(former.of(target(1)).contains(make_service_id("papers")));
    BOOST_TEST(former.is_complete_for(target(1)));
    BOOST_TEST(former.is_complete_for(target(7)));
}

// An unrecorded change must not look like a route that was never changed.
BOOST_AUTO_TEST_CASE(beyond_the_limit_no_unrecorded_route_counts_as_unchanged)
{
    former_services former;
    const std::size_t limit = former_services::max_routes;
    former.record(policy_of("meetups", limit), policy_of("papers", limit));
    BOOST_TEST(former.is_complete_for(target(limit)));

    former.record(
        policy_of("meetups", 1, limit), policy_of("papers", 1, limit));
    BOOST_TEST(!former.contains(target(limit)));
    BOOST_TEST(!former.is_complete_for(target(limit)));
    BOOST_TEST(!former.is_complete_for(target(limit + 1)));
    BOOST_TEST(former.is_complete_for(target(0)));
}

BOOST_AUTO_TEST_CASE(a_route_with_too_many_former_services_is_not_complete)
{
    former_services former;
    for (std::size_t i = 0; i < former_services::max_services + 9; ++i)
    {
        BOOST_TEST(
            former.is_complete_for(target(0)) ==
            (i <= former_services::max_services));
        former.record(
            policy_of("s" + std::to_string(i), 1),
            policy_of("s" + std::to_string(i + 1), 1));
    }
    BOOST_TEST(
        former.of(target(0)).size() <= former_services::max_services + 1);
}

BOOST_AUTO_TEST_SUITE_END()
