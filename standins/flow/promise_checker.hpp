#pragma once
/// Checks the guarantees of the layer-4 path against what upstreams and callers
/// observe. Shared by the simulated fleet and the soak test with real
/// processes.
///
///     promise_checker checker({}, {{{0xC6120001, 443}, "meetups"}});
///     checker.on_withdrawn("domain-0", now);
///     checker.on_opening(now, host, packet.flow);
///     BOOST_TEST(checker.violations().empty());

#include "masticslip/flow/flow_packet.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticslip::standin
{

/// Time limits within which state changes must take effect, and the rate limit
/// of a cold upstream.
struct promise_bounds
{
    /// A withdrawn failure domain receives no new flow after this time.
    std::chrono::milliseconds withdraw{5'000};
    /// A draining upstream receives no new flow this long after the drain was
    /// acknowledged.
    std::chrono::milliseconds drain{3'000};
    /// New flows per second that a cold upstream can take; zero: not checked.
    double cold_flows_per_second = 0;
    /// The packets of an open flow may go astray for less than this time.
    std::chrono::milliseconds reorder{2'000};
};

/// State of an upstream that the checks use.
struct checked_host
{
    std::string name;
    std::string service;
    std::string failure_domain;
    /// When its drain was acknowledged; zero if it is not draining.
    time_point drain_acknowledged_at;
    bool is_cold = false;
    /// Times at which it accepted opening packets.
    const std::vector<time_point>* openings = nullptr;
};

/// Not thread-safe; times must not decrease.
class promise_checker
{
public:
    promise_checker(
        promise_bounds bounds, const std::map<endpoint, std::string>& services);

    /// Operators have changed the route: it names this service, too.
    void on_route_changed(const endpoint& target, const std::string& service);

    void on_withdrawn(const std::string& domain, time_point now);
    void on_restored(const std::string& domain);

    /// An opening packet reached an upstream.
    void on_opening(
        time_point now, const checked_host& host, const flow_endpoints& flow);

    /// A flow was reset that an upstream without a recent fault still holds.
    void on_reset_of_held_flow(
        time_point now, const flow_endpoints& flow, const std::string& host);

    /// A packet of an open flow reached `host`; `is_own` if that one holds it.
    /// Reports a flow of which several packets reach only other upstreams.
    void on_flow_packet(
        time_point now,
        const flow_endpoints& flow,
        const std::string& host,
        bool is_own);

    /// A request was executed by an upstream more than once.
    void on_repeated_run(time_point now, std::uint64_t request);

    /// Records a violation.
    void report(time_point now, const std::string& text);

    /// Violations so far, each with its time.
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return this->found_violations;
    }

private:
    /// Packets of a flow that reached other upstreams since its own got one.
    struct stray_packets
    {
        time_point since;
        int count = 0;
    };

    promise_bounds bounds;
    std::map<flow_endpoints, stray_packets> strays;
    /// Services that a route has ever named.
    std::map<endpoint, std::set<std::string>> services;
    std::map<std::string, time_point> withdrawn_since;
    std::vector<std::string> found_violations;
};

} // namespace masticslip::standin
