#pragma once
/// Offers load to a virtual fleet at a fraction of its upstreams' capacity and
/// measures goodput, refusals, latency and imbalance.

#include "support/virtual_fleet.hpp"

#include <algorithm>
#include <random>
#include <vector>

namespace masticslip::testing
{

constexpr std::size_t load_companions = 6;
constexpr std::size_t load_callers = 300;
constexpr std::uint32_t load_slots = 5;
constexpr duration load_service_time = std::chrono::milliseconds(20);
/// Capacity of all upstreams in requests per second. The fake upstream starts
/// requests only at ticks, so each takes one tick more than its service time.
constexpr double load_capacity = double(load_companions * load_slots) / 0.03;

struct phase_result
{
    /// Completed requests as a fraction of the capacity.
    double goodput = 0;
    /// Refused requests as a fraction of the offered ones.
    double refused = 0;
    double p99_ms = 0;
    /// Highest upstream load divided by the mean.
    double imbalance = 0;
};

inline virtual_options
make_load_options(limit_policy policy, std::uint32_t width)
{
    virtual_options options;
    options.entries = 3;
    options.companions = load_companions;
    options.callers = load_callers;
    options.seed = 42;
    options.service_time = load_service_time;
    options.upstream_slots = load_slots;
    options.upstream_cold_time = std::chrono::seconds(2);
    options.policy = policy;
    options.choice_width = width;
    return options;
}

/// Generates load; each call of run() is one phase of constant offered load,
/// given as a fraction of the capacity.
class load_phase
{
public:
    load_phase(virtual_fleet& fleet, std::mt19937& random)
        : fleet(fleet), random(random)
    {
    }

    phase_result run(double share, duration span)
    {
        const std::size_t first = this->fleet.requests().size();
        std::vector<double> initial_busy;
        for (std::size_t i = 0; i < load_companions; ++i)
        {
            initial_busy.push_back(this->fleet.upstream(i).busy_time);
        }
        const duration gap(
            static_cast<std::int64_t>(1e6 / (share * load_capacity)));
        for (duration passed{}; passed < span; passed += gap)
        {
            this->fleet.get(this->random() % load_callers);
            this->fleet.run_for(gap);
        }
        return this->summarize(first, initial_busy, span);
    }

private:
    phase_result summarize(
        std::size_t first,
        const std::vector<double>& initial_busy,
        duration span)
    {
        phase_result result;
        std::vector<double> latencies;
        const auto& requests = this->fleet.requests();
        const std::size_t offered = requests.size() - first;
        for (std::size_t i = first; i < requests.size(); ++i)
        {
            result.refused +=
                requests[i].outcome == request_outcome::not_run ? 1 : 0;
            if (requests[i].outcome == request_outcome::done)
            {
                const duration taken = requests[i].ended - requests[i].started;
                latencies.push_back(double(taken.count()) / 1000);
            }
        }
        std::sort(latencies.begin(), latencies.end());
        const double seconds = double(span.count()) / 1e6;
        result.goodput = double(latencies.size()) / seconds / load_capacity;
        result.refused /= double(offered);
        result.p99_ms =
            latencies.empty() ? 0 : latencies[latencies.size() * 99 / 100];
        double highest = 0;
        double sum = 0;
        for (std::size_t i = 0; i < load_companions; ++i)
        {
            const double used =
                this->fleet.upstream(i).busy_time - initial_busy[i];
            highest = std::max(highest, used);
            sum += used;
        }
        result.imbalance = highest / (sum / load_companions);
        return result;
    }

    virtual_fleet& fleet;
    std::mt19937& random;
};

/// Number of upstream crashes caused by overload during a cold start.
inline std::uint32_t count_collapses(virtual_fleet& fleet)
{
    std::uint32_t result = 0;
    for (std::size_t i = 0; i < load_companions; ++i)
    {
        result += fleet.upstream(i).collapses;
    }
    return result;
}

} // namespace masticslip::testing
