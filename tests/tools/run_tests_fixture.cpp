// Boost.Test cases, some of which fail, for the tests of tools/run_tests.

#define BOOST_TEST_MODULE run_tests_fixture
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(good)

BOOST_AUTO_TEST_CASE(passes)
{
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(also_passes)
{
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bad)

BOOST_AUTO_TEST_CASE(passes)
{
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(fails)
{
    BOOST_TEST(false);
}

BOOST_DATA_TEST_CASE(odd_fails, boost::unit_test::data::xrange(2), number)
{
    BOOST_TEST(number % 2 == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rows)

BOOST_DATA_TEST_CASE(all_fail, boost::unit_test::data::xrange(2), number)
{
    BOOST_TEST(number < 0);
}

BOOST_AUTO_TEST_SUITE(inner)

BOOST_AUTO_TEST_CASE(passes)
{
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
