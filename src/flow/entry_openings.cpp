// Placement of opening packets: selection of companions, retries, waiting for
// capacity and rejection.

#include "masticslip/flow/entry_flow_core.hpp"

#include "masticslip/flow/detail/entry_flow_limits.hpp"

#include <algorithm>

namespace masticslip
{

using detail::contains;
using detail::lookup_width;
using detail::wait_interval;

namespace
{

/// Maximum number of companions tried for one opening packet.
constexpr std::size_t max_attempts = 6;
/// Timeout for a companion's answer to an opening packet. Half of the callers'
/// retransmission interval, so that another companion is tried before a copy
/// arrives.
constexpr std::chrono::milliseconds open_timeout{100};
/// Age beyond which an unanswered opening is not retried. Callers abandon an
/// opening 1.4 s after the first packet.
constexpr std::chrono::milliseconds opening_limit{1'500};
/// Unanswered openings since the newest load after which a companion is
/// avoided.
constexpr std::uint32_t suspect_openings = 1;
/// Difference of load, in requests per slot, at which a flow is placed in
/// another failure domain. Uploads and downloads carry forty to a hundred times
/// the bytes of others.
constexpr double remote_cost = 0.1;
constexpr double remote_bulk_cost = 1.0;
/// While openings wait, a load without capacity is considered current for this
/// long. Companions report new capacity on their own; the limit covers lost
/// reports. It grows with the number of entries, to bound the rate of openings
/// at a companion.
constexpr std::chrono::milliseconds full_load_validity_per_entry{10};
constexpr std::chrono::milliseconds min_full_load_validity{50};
constexpr std::chrono::milliseconds max_full_load_validity{400};

/// Requests in flight per slot up to which companions admit flows at most, for
/// those that have not stated their limit.
constexpr std::uint32_t in_flight_per_slot = 4;

/// Assumes capacity for one flow at a companion whose full load is outdated.
void assume_capacity(placement_candidate& candidate)
{
    if (candidate.unreported_placements != 0)
    {
        return;
    }
    upstream_load& load = candidate.load;
    if (load.refusal == result_code::not_run_overloaded)
    {
        load.refusal = result_code::done;
    }
    load.cold_capacity = std::max(load.cold_capacity, 1U);
}

/// Places at a companion for openings that wait, according to its load.
std::uint32_t free_places(const upstream_load& load)
{
    const std::uint32_t limit = load.in_flight_limit != 0
                                    ? load.in_flight_limit
                                    : load.concurrency * in_flight_per_slot;
    return std::max(1U, limit - std::min(limit, load.in_flight));
}

/// Reason why no candidate takes a flow: a full one, which may soon have room,
/// rather than one that takes none. `otherwise` if there are no candidates.
result_code common_refusal(
    const std::vector<placement_candidate>& candidates, result_code otherwise)
{
    for (const placement_candidate& candidate : candidates)
    {
        const upstream_load& load = candidate.load;
        if (load.refusal == result_code::done && load.is_cold)
        {
            return result_code::not_run_upstream_cold;
        }
        if (load.refusal == result_code::not_run_overloaded)
        {
            return load.refusal;
        }
    }
    return otherwise;
}

} // namespace

void entry_flow_core::on_opening(time_point now, const flow_packet& packet)
{
    const auto known = this->flows.find(packet.flow);
    if (known != this->flows.end() && known->second.confirmed &&
        !known->second.closing)
    {
        this->forward(now, known->second, packet);
        return;
    }
    const auto pending = this->openings.find(packet.flow);
    if (pending != this->openings.end())
    {
        // A copy: the pending attempt keeps its own timeouts.
        return;
    }
    opening item;
    item.packet.assign(packet.raw.begin(), packet.raw.end());
    item.copy_number = packet.acknowledged;
    item.first_seen = now;
    item.arrival = ++this->arrival_count;
    item.service = this->service_of(packet.flow);
    const bool must_wait = this->waiting_services.contains(item.service);
    const auto created = this->openings.emplace(packet.flow, std::move(item));
    if (must_wait)
    {
        // Openings of the service that already wait go first.
        this->set_waiting(created.first->second, true);
        this->arm_timer(now);
        return;
    }
    this->place(now, packet.flow, created.first->second);
}

duration entry_flow_core::full_load_validity() const
{
    return std::clamp<duration>(
        full_load_validity_per_entry *
            static_cast<int>(this->reported_entry_count),
        min_full_load_validity, max_full_load_validity);
}

std::vector<placement_candidate> entry_flow_core::candidates_for(
    time_point now, const flow_endpoints& flow, const opening& item)
{
    const route_definition* route =
        this->current_policy().find_route(flow.target);
    std::vector<placement_candidate> result;
    if (route == nullptr)
    {
        return result;
    }
    const auto ids = this->ranked_companions(
        make_service_id(route->service), flow, lookup_width);
    result.reserve(ids.size());
    for (const instance_id id : ids)
    {
        const directory_member& member = *this->directory.find(id);
        const auto& domain = member.record.failure_domain;
        const bool is_usable =
            !member.is_stopping && !member.has_left && !member.is_silent &&
            member.load_received_at != time_point{} &&
            !contains(item.tried, id) &&
            !this->current_policy().value().is_withdrawn(domain);
        if (!is_usable)
        {
            continue;
        }
        placement_candidate candidate{
            id,
            member.load,
            member.unreported_placements,
            domain != this->settings.failure_domain,
            member.unanswered_openings >= suspect_openings,
            member.is_outlier,
            item.tried.empty() && this->outliers.is_probe_due(
                                      now, member, this->reported_entry_count)};
        if (item.is_waiting &&
            now - member.load_received_at > this->full_load_validity())
        {
            assume_capacity(candidate);
        }
        if (item.is_waiting && candidate.load.refusal == result_code::done &&
            candidate.unreported_placements >= free_places(candidate.load))
        {
            candidate.load.refusal = result_code::not_run_overloaded;
        }
        result.push_back(candidate);
    }
    return result;
}

void entry_flow_core::place(
    time_point now, const flow_endpoints& flow, opening& item)
{
    const auto candidates = this->candidates_for(now, flow, item);
    const route_definition* route =
        this->current_policy().find_route(flow.target);
    const bool carries_bulk = route != nullptr && is_bulk(route->kind);
    const placement_request request{
        hash_flow_endpoints(flow),
        carries_bulk ? remote_bulk_cost : remote_cost,
        route == nullptr || is_repeatable(route->kind)};
    const auto chosen = item.tried.size() < max_attempts
                            ? this->placement->choose(candidates, request)
                            : std::nullopt;
    if (!chosen && item.tried.empty() &&
        item.last_refusal == result_code::not_run_no_upstream)
    {
        // It waits without being tried at any companion.
        item.last_refusal = common_refusal(candidates, item.last_refusal);
    }
    if (!chosen && this->may_wait(now, flow, item))
    {
        this->set_waiting(item, true);
        item.tried.clear();
        this->arm_timer(now + wait_interval);
        return;
    }
    if (!chosen)
    {
        this->reject(now, flow, item);
        return;
    }
    this->set_waiting(item, false);
    const instance_id id = candidates[*chosen].id;
    directory_member& member = *this->directory.find(id);
    ++member.unreported_placements;
    this->outliers.on_placed(now, member, request.is_repeatable);
    const auto kind = item.tried.empty() ? flow_event_kind::flow_placed
                                         : flow_event_kind::flow_moved;
    this->emit(
        now, kind, flow, id,
        item.tried.empty() ? result_code::done : item.last_refusal,
        static_cast<std::uint32_t>(candidates.size()),
        static_cast<std::uint32_t>(item.tried.size()));
    item.tried.push_back(id);
    item.deadline = now + open_timeout;
    this->arm_timer(item.deadline);
    flow_record& record = this->flows[flow];
    record = {};
    record.companion = id;
    record.last_packet = now;
    this->output.send_packet(member.record.packet_address, item.packet);
}

void entry_flow_core::reject(
    time_point now,
    const flow_endpoints& flow,
    opening& item,
    std::string_view detail)
{
    const bool is_certain = item.was_never_opened();
    this->emit(
        now,
        is_certain ? flow_event_kind::flow_rejected
                   : flow_event_kind::packet_dropped,
        flow, {}, item.last_refusal, 0,
        static_cast<std::uint32_t>(item.tried.size()), now - item.first_seen,
        detail);
    if (is_certain)
    {
        this->output.reset_caller(flow, 0);
        this->flows.erase(flow);
    }
    this->erase_opening(flow);
}

void entry_flow_core::on_opened(
    time_point now, instance_id sender, const flow_opened& message)
{
    this->directory.on_load(now, sender, message.load);
    this->report_outliers(now, sender);
    this->retry_waiting_openings(now, message.load);
    const auto pending = this->openings.find(message.flow);
    duration elapsed{};
    if (pending != this->openings.end())
    {
        elapsed = now - pending->second.first_seen;
        this->erase_opening(message.flow);
    }
    flow_record& flow = this->flows[message.flow];
    if (flow.confirmed && flow.companion != sender)
    {
        // Two upstreams accepted the opening. The caller continues with one of
        // them, and the companion of the other returns the caller's packets.
        return;
    }
    flow.companion = sender;
    flow.confirmed = true;
    flow.known_since = now;
    flow.last_packet = now;
    this->emit(
        now, flow_event_kind::flow_opened, message.flow, sender,
        result_code::done, 0, 0, elapsed);
}

void entry_flow_core::on_refused(
    time_point now, instance_id sender, const flow_refused& message)
{
    this->directory.on_load(now, sender, message.load);
    this->report_outliers(now, sender);
    const auto pending = this->openings.find(message.flow);
    if (pending == this->openings.end())
    {
        return;
    }
    opening& item = pending->second;
    if (!item.tried.empty() && item.tried.back() == sender)
    {
        item.last_refusal = message.reason;
        this->place(now, message.flow, item);
    }
    else if (contains(item.tried, sender) && item.unanswered_attempts > 0)
    {
        // The answer arrived after the next companion had been tried.
        --item.unanswered_attempts;
    }
}

void entry_flow_core::expire_openings(time_point now)
{
    std::vector<flow_endpoints> due;
    for (const auto& [flow, item] : this->openings)
    {
        if (item.is_waiting)
        {
            continue;
        }
        if (item.deadline <= now)
        {
            due.push_back(flow);
        }
        else
        {
            this->arm_timer(item.deadline);
        }
    }
    for (const flow_endpoints& flow : due)
    {
        opening& item = this->openings[flow];
        if (directory_member* member = this->directory.find(item.tried.back()))
        {
            ++member->unanswered_openings;
        }
        ++item.unanswered_attempts;
        item.last_refusal = result_code::unknown_companion_gone;
        if (now - item.first_seen > opening_limit)
        {
            this->erase_opening(flow);
            continue;
        }
        this->place(now, flow, item);
    }
    this->place_waiting(now);
}

} // namespace masticslip
