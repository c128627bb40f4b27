#pragma once
/// Decisions of the layer-4 path, for logs, counters and tests.

#include "masticslip/flow/flow_messages.hpp"

#include <array>
#include <string_view>

namespace masticslip
{

/// Kinds of decisions. The names in logs are those of `flow_event_names`.
enum class flow_event_kind : std::uint8_t
{
    flow_placed,      ///< An opening packet was sent to a companion.
    flow_moved,       ///< It was sent to another one after the first.
    flow_opened,      ///< The upstream accepted the flow.
    flow_refused,     ///< A companion did not take an opening packet.
    flow_rejected,    ///< No companion takes it; the caller was told.
    flow_reset,       ///< A flow that no upstream holds was ended.
    owner_looked_up,  ///< A packet of an unknown flow is being traced.
    owner_found,      ///< The flow's owner answered.
    owner_missing,    ///< No owner was found in time.
    packet_returned,  ///< A packet came to a companion that has no such flow.
    packet_dropped,   ///< A packet that could not be placed.
    policy_in_force,  ///< A newer policy was applied.
    member_joined,    ///< A companion became known.
    member_left,      ///< A companion is gone.
    member_silent,    ///< A companion stopped answering.
    member_returned,  ///< A silent companion answers again.
    upstream_changed, ///< The upstream's state or incarnation changed.
    status_refused,   ///< A status that is late or of a former incarnation.
    freeze_detected,  ///< The process stood still; what it knows may be old.
    companions_lost,  ///< No companion answers: the entry is cut off.
    companions_found  ///< Companions answer again.
};

constexpr std::size_t flow_event_count = 21;

/// Stable names, in the order of the enumeration.
extern const std::array<std::string_view, flow_event_count> flow_event_names;

/// One decision with the inputs that made it.
struct flow_event
{
    flow_event_kind kind = flow_event_kind::flow_placed;
    result_code code = result_code::done;
    flow_ends flow;
    instance_id peer;
    /// Policy that was in force.
    std::uint64_t policy_revision = 0;
    /// Load on which the decision rests, and how old that knowledge is.
    upstream_load load;
    duration view_age{};
    /// Companions among which was chosen, or that were asked.
    std::uint32_t candidates = 0;
    /// Companions that had been tried before.
    std::uint32_t attempts = 0;
    /// Time that the step took.
    duration elapsed{};
    /// Short extra text; valid only during the call.
    std::string_view detail;
};

/// Receives decisions. Called on the thread that drives the core.
class flow_event_sink
{
public:
    virtual ~flow_event_sink() = default;

    /// Takes one event. Must not call back into the core.
    virtual void on_event(time_point now, const flow_event& event) = 0;
};

} // namespace masticslip
