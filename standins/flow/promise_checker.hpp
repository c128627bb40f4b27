#pragma once
/// Checks of the promises of the layer-4 path, from what upstreams and callers
/// see. Shared by the virtual fleet and by the soak with real processes.
///
///     promise_checker checker({}, {{{0xC6120001, 443}, "meetups"}});
///     checker.on_withdrawn("domain-0", now);
///     checker.on_opening(now, host, packet.flow);
///     BOOST_TEST(checker.violations().empty());

#include "masticslip/flow/flow_packet.hpp"

#include <map>
#include <string>
#include <vector>

namespace masticslip::standin
{

/// Bounds within which knowledge has to spread.
struct promise_bounds
{
    /// A withdrawn failure domain gets no new flow after this.
    std::chrono::milliseconds withdraw{5'000};
    /// A leaving upstream gets no new flow after its acknowledgement and this.
    std::chrono::milliseconds drain{3'000};
    /// New flows that a cold upstream bears in a second; zero: not stated.
    double cold_flows_per_second = 0;
};

/// An upstream as the checks need it.
struct checked_host
{
    std::string name;
    std::string service;
    std::string failure_domain;
    /// Time of the acknowledgement that it leaves; zero: it does not.
    time_point leaving_since;
    bool is_cold = false;
    /// Openings that it took.
    const std::vector<time_point>* openings = nullptr;
};

/// Not thread-safe; times must not decrease.
class promise_checker
{
public:
    promise_checker(
        promise_bounds bounds, std::map<endpoint, std::string> services)
        : bounds(bounds), services(std::move(services))
    {
    }

    void on_withdrawn(const std::string& domain, time_point now);
    void on_restored(const std::string& domain);

    /// An opening reached an upstream.
    void
    on_opening(time_point now, const checked_host& host, const flow_ends& flow);

    /// A flow that an undisturbed upstream holds was reset.
    void on_reset_of_held_flow(
        time_point now, const flow_ends& flow, const std::string& host);

    /// A request ran at an upstream for the second time or more.
    void on_repeated_run(time_point now, std::uint64_t request);

    /// Notes a broken promise.
    void report(time_point now, const std::string& text);

    /// Broken promises, each with its time.
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return this->broken;
    }

private:
    promise_bounds bounds;
    std::map<endpoint, std::string> services;
    std::map<std::string, time_point> withdrawn_since;
    std::vector<std::string> broken;
};

} // namespace masticslip::standin
