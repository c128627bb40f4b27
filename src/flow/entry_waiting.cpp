// Openings that wait for capacity: their order, their limits and the refusal of
// those whose callers do not wait that long.

#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/flow/detail/entry_flow_limits.hpp"

#include <algorithm>

namespace masticslip
{

using detail::discovery_time;
using detail::wait_interval;

namespace
{

/// Time limit of routes that do not set one.
constexpr std::chrono::milliseconds default_time_limit{1'000};
/// Callers abandon an opening this long after its first packet.
constexpr std::chrono::milliseconds caller_patience{1'400};

/// The estimate that led to a refusal, and what the opening waited for, for
/// logs.
std::string describe(
    const wait_refusal& refusal,
    const service_pace& pace,
    result_code waited_for)
{
    const auto milliseconds = [](duration value)
    {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(value)
                .count());
    };
    const auto rate = static_cast<std::uint64_t>(pace.rate.per_second);
    return "waited_for=" + std::string(to_string(waited_for)) +
           " wait_ms=" + milliseconds(refusal.wait) +
           " ahead=" + std::to_string(refusal.openings_ahead) +
           " overtaken=" + std::to_string(refusal.is_overtaken ? 1 : 0) +
           " entries=" + std::to_string(pace.entry_count) +
           " rate=" + std::to_string(rate) +
           " rate_age_ms=" + milliseconds(pace.rate.age) +
           " request_ms=" + milliseconds(pace.rate.request_time);
}

} // namespace

void entry_flow_core::set_waiting(opening& item, bool value)
{
    if (item.is_waiting == value)
    {
        return;
    }
    item.is_waiting = value;
    if (value)
    {
        ++this->waiting_services[item.service].count;
        return;
    }
    const auto found = this->waiting_services.find(item.service);
    if (--found->second.count == 0)
    {
        this->waiting_services.erase(found);
    }
}

void entry_flow_core::erase_opening(const flow_endpoints& flow)
{
    const auto found = this->openings.find(flow);
    if (found != this->openings.end())
    {
        this->set_waiting(found->second, false);
        this->openings.erase(found);
    }
}

void entry_flow_core::retry_waiting_openings(
    time_point now, const upstream_load& load)
{
    const bool has_capacity = load.refusal == result_code::done &&
                              (!load.is_cold || load.cold_capacity != 0);
    if (has_capacity && !this->waiting_services.empty())
    {
        this->arm_timer(now);
    }
}

service_id entry_flow_core::service_of(const flow_endpoints& flow) const
{
    const route_definition* route =
        this->current_policy().find_route(flow.target);
    return route == nullptr ? service_id{} : make_service_id(route->service);
}

std::chrono::milliseconds
entry_flow_core::time_limit_of(const flow_endpoints& flow) const
{
    const route_definition* route =
        this->current_policy().find_route(flow.target);
    const bool is_stated = route != nullptr && route->time_limit.count() != 0;
    return is_stated ? route->time_limit : default_time_limit;
}

remaining_wait entry_flow_core::remaining_wait_of(
    time_point now, const flow_endpoints& flow, const opening& item) const
{
    const auto time_limit = this->time_limit_of(flow);
    const auto wait_limit = std::chrono::duration_cast<duration>(
        time_limit * this->settings.wait_share);
    const duration age = now - item.first_seen;
    return {wait_limit - age, std::min(time_limit, caller_patience) - age};
}

bool entry_flow_core::has_reached_wait_limit(
    time_point now, const flow_endpoints& flow, const opening& item) const
{
    return this->remaining_wait_of(now, flow, item).until_wait_limit <=
           duration::zero();
}

bool entry_flow_core::may_wait(
    time_point now, const flow_endpoints& flow, const opening& item) const
{
    const route_definition* route =
        this->current_policy().find_route(flow.target);
    if (route == nullptr || this->has_reached_wait_limit(now, flow, item))
    {
        return false;
    }
    const auto& ids =
        this->directory.of_service(make_service_id(route->service));
    if (ids.empty() && now - this->first_policy_at < discovery_time)
    {
        return true;
    }
    return std::any_of(
        ids.begin(), ids.end(),
        [this, now](instance_id id)
        {
            const directory_member& member = *this->directory.find(id);
            const auto& domain = member.record.failure_domain;
            const bool is_leaving =
                member.has_left ||
                member.load.refusal == result_code::not_run_upstream_leaving;
            return !is_leaving && !this->is_lost(now, member) &&
                   !this->current_policy().value().is_withdrawn(domain);
        });
}

std::map<service_id, std::vector<waiting_opening>>
entry_flow_core::waiting_openings()
{
    std::map<service_id, std::vector<waiting_opening>> result;
    for (auto& [flow, item] : this->openings)
    {
        if (!item.is_waiting)
        {
            continue;
        }
        const service_id service = this->service_of(flow);
        if (service != item.service)
        {
            // The policy has changed.
            this->set_waiting(item, false);
            item.service = service;
            this->set_waiting(item, true);
        }
        waiting_opening waiting;
        waiting.flow = flow;
        waiting.first_seen = item.first_seen;
        waiting.arrival = item.arrival;
        if (const route_definition* route =
                this->current_policy().find_route(flow.target))
        {
            waiting.target_latency = route->target_latency;
            waiting.priority = route->priority;
        }
        result[service].push_back(waiting);
    }
    return result;
}

void entry_flow_core::place_waiting(time_point now)
{
    if (this->waiting_services.empty())
    {
        return;
    }
    for (auto& [service, waiting] : this->waiting_openings())
    {
        this->count_waiting(now, service, waiting);
        this->waiting_services[service].share.sort(
            now + this->current_rate(now, service).request_time, waiting);
        this->place_in_order(now, service, waiting);
        this->refuse_long_waits(now, service, waiting);
    }
    if (!this->waiting_services.empty())
    {
        this->arm_timer(now + wait_interval);
    }
}

void entry_flow_core::count_waiting(
    time_point now,
    service_id service,
    const std::vector<waiting_opening>& openings)
{
    waiting_service& state = this->waiting_services[service];
    std::map<endpoint, pace_meter> present;
    for (const waiting_opening& waiting : openings)
    {
        const endpoint& route = waiting.flow.target;
        const auto former = state.meters.find(route);
        pace_meter& meter =
            present
                .try_emplace(
                    route, former == state.meters.end() ? pace_meter(now)
                                                        : former->second)
                .first->second;
        opening& item = this->openings[waiting.flow];
        if (item.has_place)
        {
            meter.on_returned();
            state.share.on_returned(waiting.flow);
        }
        else if (!item.has_arrived)
        {
            meter.on_arrival(now);
        }
        item.has_arrived = true;
        item.has_place = false;
    }
    state.meters = std::move(present);
}

void entry_flow_core::place_in_order(
    time_point now,
    service_id service,
    const std::vector<waiting_opening>& order)
{
    bool is_full = false;
    for (const waiting_opening& waiting : order)
    {
        opening& item = this->openings[waiting.flow];
        if (is_full && !this->has_reached_wait_limit(now, waiting.flow, item))
        {
            continue;
        }
        this->place(now, waiting.flow, item);
        const auto remaining = this->openings.find(waiting.flow);
        if (remaining == this->openings.end())
        {
            continue;
        }
        if (remaining->second.is_waiting && !is_full)
        {
            is_full = true;
            this->waiting_services[service].refusal =
                remaining->second.last_refusal;
        }
        if (!remaining->second.is_waiting)
        {
            remaining->second.has_place = true;
            this->count_place(now, service, waiting.flow);
        }
    }
}

void entry_flow_core::count_place(
    time_point now, service_id service, const flow_endpoints& flow)
{
    const auto found = this->waiting_services.find(service);
    if (found == this->waiting_services.end())
    {
        return;
    }
    found->second.share.on_placed(flow);
    const auto meter = found->second.meters.find(flow.target);
    if (meter != found->second.meters.end())
    {
        meter->second.on_placed(now);
    }
}

service_rate entry_flow_core::current_rate(time_point now, service_id service)
{
    waiting_service& waiting = this->waiting_services[service];
    const bool is_estimated = waiting.rate_estimated_at != time_point{};
    if (is_estimated && now - waiting.rate_estimated_at < wait_interval)
    {
        return waiting.rate;
    }
    std::vector<aged_load> loads;
    for (const instance_id id : this->directory.of_service(service))
    {
        const directory_member& member = *this->directory.find(id);
        const result_code refusal = member.load.refusal;
        const bool is_usable =
            !member.is_stopping && !member.has_left && !member.is_silent &&
            refusal != result_code::not_run_upstream_leaving &&
            refusal != result_code::not_run_no_upstream &&
            !this->current_policy().value().is_withdrawn(
                member.record.failure_domain);
        if (is_usable)
        {
            loads.push_back({member.load, now - member.load_received_at});
        }
    }
    waiting.rate = estimate_rate(loads);
    waiting.rate_estimated_at = now;
    return waiting.rate;
}

service_pace entry_flow_core::current_pace(time_point now, service_id service)
{
    service_pace result;
    result.rate = this->current_rate(now, service);
    result.entry_count = this->reported_entry_count;
    for (const auto& [route, meter] : this->waiting_services[service].meters)
    {
        result.routes[route] = meter.pace(now);
    }
    return result;
}

queued_opening entry_flow_core::queued_opening_of(
    time_point now,
    const waiting_opening& waiting,
    const opening& item,
    duration request_time) const
{
    queued_opening result;
    result.route = waiting.flow.target;
    result.remaining = this->remaining_wait_of(now, waiting.flow, item);
    // Without a target openings go in the order of arrival.
    result.until_late =
        waiting.target_latency.count() == 0
            ? duration::max()
            : item.first_seen + waiting.target_latency - request_time - now;
    result.round = waiting.round;
    result.arrival = item.arrival;
    result.is_refusable = item.was_never_opened();
    return result;
}

void entry_flow_core::refuse_long_waits(
    time_point now,
    service_id service,
    const std::vector<waiting_opening>& order)
{
    // An isolated entry cannot tell what the others serve.
    if (!this->waiting_services.contains(service) || this->is_isolated(now))
    {
        return;
    }
    const service_pace pace = this->current_pace(now, service);
    const result_code waited_for = this->waiting_services[service].refusal;
    std::vector<queued_opening> queued;
    std::vector<flow_endpoints> flows_queued;
    for (const waiting_opening& waiting : order)
    {
        const auto found = this->openings.find(waiting.flow);
        if (found != this->openings.end() && found->second.is_waiting)
        {
            queued.push_back(this->queued_opening_of(
                now, waiting, found->second, pace.rate.request_time));
            flows_queued.push_back(waiting.flow);
        }
    }
    for (const wait_refusal& refusal : select_refusals(queued, pace))
    {
        const flow_endpoints flow = flows_queued[refusal.position];
        opening& item = this->openings[flow];
        item.last_refusal = result_code::not_run_wait_too_long;
        this->reject(now, flow, item, describe(refusal, pace, waited_for));
    }
}

} // namespace masticslip
