#include "promise_checker.hpp"

#include "event_queue.hpp"

#include <algorithm>

namespace masticslip::standin
{

using namespace std::chrono_literals;

promise_checker::promise_checker(
    promise_bounds bounds, const std::map<endpoint, std::string>& services)
    : bounds(bounds)
{
    for (const auto& [target, service] : services)
    {
        this->services[target] = {service};
    }
}

void promise_checker::on_route_changed(
    const endpoint& target, const std::string& service)
{
    this->services[target].insert(service);
}

void promise_checker::on_withdrawn(const std::string& domain, time_point now)
{
    this->withdrawn_since[domain] = now;
}

void promise_checker::on_restored(const std::string& domain)
{
    this->withdrawn_since.erase(domain);
}

void promise_checker::on_opening(
    time_point now, const checked_host& host, const flow_endpoints& flow)
{
    const auto service = this->services.find(flow.target);
    if (service != this->services.end() &&
        !service->second.contains(host.service))
    {
        this->report(
            now, "a flow for " + *service->second.begin() + " reaches " +
                     host.name + " of " + host.service);
    }
    const auto since = this->withdrawn_since.find(host.failure_domain);
    if (since != this->withdrawn_since.end() &&
        now - since->second > this->bounds.withdraw)
    {
        this->report(now, "a flow reaches withdrawn " + host.name);
    }
    if (host.drain_acknowledged_at != time_point{} &&
        now - host.drain_acknowledged_at > this->bounds.drain)
    {
        this->report(now, "a flow reaches leaving " + host.name);
    }
    if (!host.is_cold || this->bounds.cold_flows_per_second <= 0)
    {
        return;
    }
    const auto recent = std::count_if(
        host.openings->begin(), host.openings->end(),
        [now](time_point at) { return now - at < 1s; });
    if (static_cast<double>(recent) > this->bounds.cold_flows_per_second)
    {
        this->report(
            now, "cold " + host.name + " gets " + std::to_string(recent) +
                     " flows in a second");
    }
}

void promise_checker::on_reset_of_held_flow(
    time_point now, const flow_endpoints& flow, const std::string& host)
{
    this->report(
        now, "reset of " + to_string(flow) + ", which " + host + " holds");
}

void promise_checker::on_flow_packet(
    time_point now,
    const flow_endpoints& flow,
    const std::string& host,
    bool is_own)
{
    constexpr int max_strays = 2;
    if (is_own)
    {
        this->strays.erase(flow);
        return;
    }
    stray_packets& item = this->strays[flow];
    if (item.count++ == 0)
    {
        item.since = now;
    }
    if (item.count > max_strays && now - item.since >= this->bounds.reorder)
    {
        this->report(
            now, std::to_string(item.count) + " packets of " + to_string(flow) +
                     " went astray, the last to " + host);
        this->strays.erase(flow);
    }
}

void promise_checker::on_repeated_run(time_point now, std::uint64_t request)
{
    this->report(now, "request " + std::to_string(request) + " ran again");
}

void promise_checker::report(time_point now, const std::string& text)
{
    const auto seconds =
        std::chrono::duration<double>(now - event_queue::start());
    this->found_violations.push_back(
        std::to_string(seconds.count()) + " s: " + text);
}

} // namespace masticslip::standin
