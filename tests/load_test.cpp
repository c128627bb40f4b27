// Targets for admission control, upstream selection and retries under virtual
// time.

#define BOOST_TEST_MODULE load
#include "support/load_phase.hpp"

#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;

constexpr double max_imbalance = 1.15;
constexpr double min_goodput = 0.9;
/// Fraction of the capacity that remains while one of three failure domains is
/// withdrawn.
constexpr double remaining_capacity = 2.0 / 3.0;

struct load_fixture
{
    load_fixture()
        : fleet(make_load_options(limit_policy::aimd, 3)), random(7),
          load(fleet, random)
    {
        this->fleet.run_for(2s);
    }

    virtual_fleet fleet;
    std::mt19937 random;
    load_phase load;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load, load_fixture)

BOOST_AUTO_TEST_CASE(upstreams_are_balanced_at_60_percent)
{
    this->load.run(0.6, 8s);
    const auto result = this->load.run(0.6, 20s);
    BOOST_TEST(result.imbalance <= max_imbalance);
}

BOOST_AUTO_TEST_CASE(goodput_holds_at_150_percent)
{
    this->load.run(1.5, 8s);
    const auto result = this->load.run(1.5, 20s);
    BOOST_TEST(result.goodput >= min_goodput);
}

BOOST_AUTO_TEST_CASE(a_domain_leaves_and_returns_cold_at_80_percent)
{
    this->load.run(0.8, 10s);
    this->fleet.change([](configuration& value)
                       { value.withdrawn_domains = {"domain-0"}; });
    this->fleet.run_for(2s);
    const auto packets_before =
        this->fleet.upstream(0).packets + this->fleet.upstream(3).packets;
    const auto withdrawn = this->load.run(0.8, 10s);
    const auto packets_after =
        this->fleet.upstream(0).packets + this->fleet.upstream(3).packets;
    this->fleet.restart_upstream(0);
    this->fleet.restart_upstream(3);
    this->fleet.change([](configuration& value)
                       { value.withdrawn_domains.clear(); });
    this->load.run(0.8, 20s);
    const auto returned = this->load.run(0.8, 10s);

    BOOST_TEST(withdrawn.goodput >= min_goodput * remaining_capacity);
    BOOST_TEST(packets_after == packets_before);
    BOOST_TEST(returned.imbalance <= max_imbalance);
    BOOST_TEST(count_collapses(this->fleet) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
