#include "masticslip/core/detail/companion_context.hpp"

#include "masticslip/core/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration freeze_limit = 1s;
/// Effectively unlimited: after a freeze, a companion waits for a heartbeat
/// answer however long it takes.
constexpr duration freeze_wait_limit = 24h;
/// Maximum until a configuration is in force; the default of preset_limits.
constexpr std::uint32_t initial_max_in_flight = 5;
constexpr double retry_ratio = 0.2;
constexpr double retry_burst = 20;
constexpr std::uint32_t min_retry_after = 1;
constexpr std::uint32_t retry_after_spread = 4;

member_record make_self(const companion_settings& settings)
{
    member_record self;
    self.id = settings.self;
    self.incarnation_number = settings.incarnation_number;
    self.version = 1;
    self.role = member_role::companion;
    self.admin = settings.admin;
    self.state = member_state::draining;
    self.service = make_service_id(settings.service);
    self.failure_domain = settings.failure_domain;
    self.name = settings.name;
    return self;
}

} // namespace

companion_context::companion_context(
    companion_settings settings,
    companion_output& output,
    event_sink& events,
    const coap_codec& codec)
    : settings(std::move(settings)), output(output), events(events),
      codec(codec), configs(output, events),
      heartbeats(output, make_self(this->settings), this->settings.seeds),
      freeze(freeze_limit, freeze_wait_limit), issuer(this->settings.keys),
      limit(make_admission_limit(this->settings.policy, initial_max_in_flight)),
      retries(retry_ratio, retry_burst),
      service(make_service_id(this->settings.service))
{
}

bool companion_context::is_withdrawn() const
{
    const auto& current = this->configs.current();
    return current && current->is_withdrawn(this->settings.failure_domain);
}

bool companion_context::accepts_new_work() const
{
    return this->upstream_present && !this->upstream.draining &&
           !this->stopping && !this->is_withdrawn() &&
           this->configs.current() != nullptr;
}

bool companion_context::admits() const
{
    return this->accepts_new_work() && this->in_flight < this->limit->limit();
}

std::optional<instance_incarnation> companion_context::select_sibling(
    const flow_key& flow, instance_id except) const
{
    std::vector<weighted_instance> members;
    for (const auto& sibling : this->heartbeats.siblings())
    {
        if (sibling.id != except)
        {
            members.push_back({sibling.id, 1});
        }
    }
    const auto ranked = rank_candidates(hash_flow(flow), members, 1);
    if (ranked.empty())
    {
        return std::nullopt;
    }
    const auto& siblings = this->heartbeats.siblings();
    const auto found = std::find_if(
        siblings.begin(), siblings.end(),
        [&](const instance_incarnation& item)
        { return item.id == ranked.front(); });
    const auto reported = this->peer_incarnations.find(found->id);
    const incarnation newest =
        reported == this->peer_incarnations.end()
            ? found->incarnation_number
            : std::max(reported->second, found->incarnation_number);
    return instance_incarnation{found->id, newest};
}

instance_id companion_context::select_live_entry(
    const flow_key& flow, instance_id preferred, std::size_t attempt) const
{
    const auto& entries = this->heartbeats.entries();
    const bool is_preferred_known =
        std::find(entries.begin(), entries.end(), preferred) != entries.end();
    if (entries.empty() || (attempt == 0 && is_preferred_known))
    {
        return preferred;
    }
    return entries[(hash_flow(flow) + attempt) % entries.size()];
}

std::uint32_t
companion_context::retry_after(time_point now, const flow_key& flow) const
{
    const auto ticks =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t mixed = hash_pair(hash_flow(flow), ticks);
    return min_retry_after +
           static_cast<std::uint32_t>(mixed % retry_after_spread);
}

void companion_context::send_to_caller(
    instance_id entry,
    const flow_key& flow,
    const trace_context& trace,
    bool from_owner,
    const coap_message& message)
{
    const bytes datagram = this->codec.encode(message);
    reply_message reply;
    reply.flow = flow;
    reply.from_owner = from_owner;
    reply.trace = trace;
    reply.payload = datagram;
    this->output.send(entry, reply);
}

void companion_context::report(
    time_point now,
    event_kind kind,
    const flow_key& flow,
    result_code code,
    instance_id peer)
{
    core_event event;
    event.kind = kind;
    event.code = code;
    event.flow = flow;
    event.peer = peer;
    this->events.on_event(now, event);
}

} // namespace masticslip::detail
