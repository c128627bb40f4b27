// Compares admission limit policies and the number k of compared candidates in
// virtual time, and simulates the loss and cold return of a failure domain. The
// seeds are fixed, so results are the same on any machine.
//
//     policies load    limits and k at 60 %, 90 % and 150 % of capacity
//     policies storm   a third of the upstreams is withdrawn at 80 % load and
//                      returns cold

#include "support/load_phase.hpp"

#include <algorithm>
#include <iostream>
#include <string>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;

void print(const std::string& name, const phase_result& result)
{
    std::cout << name << " goodput " << result.goodput << " refused "
              << result.refused << " p99_ms " << result.p99_ms << " imbalance "
              << result.imbalance << '\n';
}

std::string to_text(limit_policy policy)
{
    switch (policy)
    {
    case limit_policy::fixed:
        return "fixed";
    case limit_policy::aimd:
        return "aimd";
    case limit_policy::gradient:
        return "gradient";
    }
    return "invalid";
}

void compare_loads()
{
    for (const auto policy :
         {limit_policy::fixed, limit_policy::aimd, limit_policy::gradient})
    {
        for (const std::uint32_t choice_width : {1U, 2U, 3U})
        {
            for (const double share : {0.6, 0.9, 1.5})
            {
                virtual_fleet fleet(make_load_options(policy, choice_width));
                std::mt19937 random(7);
                fleet.run_for(2s);
                load_phase load(fleet, random);
                load.run(share, 8s);
                const auto result = load.run(share, 20s);
                print(
                    to_text(policy) + " k=" + std::to_string(choice_width) +
                        " load=" + std::to_string(int(share * 100)) +
                        "% collapses " + std::to_string(count_collapses(fleet)),
                    result);
            }
        }
    }
}

void simulate_outage()
{
    for (const auto policy :
         {limit_policy::fixed, limit_policy::aimd, limit_policy::gradient})
    {
        virtual_fleet fleet(make_load_options(policy, 3));
        std::mt19937 random(7);
        fleet.run_for(2s);
        load_phase load(fleet, random);
        const std::string name = to_text(policy);
        load.run(0.8, 10s);
        print(name + " before", load.run(0.8, 10s));
        fleet.change([](configuration& value)
                     { value.withdrawn_domains = {"domain-0"}; });
        fleet.run_for(2s);
        const std::uint64_t packets =
            fleet.upstream(0).packets + fleet.upstream(3).packets;
        print(name + " absent", load.run(0.8, 10s));
        std::cout << name << " packets_to_withdrawn "
                  << fleet.upstream(0).packets + fleet.upstream(3).packets -
                         packets
                  << '\n';
        fleet.restart_upstream(0);
        fleet.restart_upstream(3);
        fleet.change([](configuration& value)
                     { value.withdrawn_domains.clear(); });
        print(name + " return_0_10s", load.run(0.8, 10s));
        print(name + " return_10_20s", load.run(0.8, 10s));
        print(name + " return_20_30s", load.run(0.8, 10s));
        std::cout << name << " collapses " << count_collapses(fleet) << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::string selected = argc > 1 ? argv[1] : "load";
    if (selected == "load")
    {
        compare_loads();
        return 0;
    }
    if (selected == "storm")
    {
        simulate_outage();
        return 0;
    }
    std::cerr << "usage: policies load|storm\n";
    return 2;
}
