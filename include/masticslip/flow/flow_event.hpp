#pragma once
/// Events of the layer-4 path, for logs, counters and tests.

#include "masticslip/flow/flow_messages.hpp"

#include <array>
#include <string_view>

namespace masticslip
{

/// Kinds of events. Logs use the names in `flow_event_names`.
enum class flow_event_kind : std::uint8_t
{
    flow_placed,      ///< An opening packet was sent to a companion.
    flow_moved,       ///< An opening packet was sent to another companion.
    flow_opened,      ///< The upstream accepted the flow.
    flow_refused,     ///< A companion refused an opening packet.
    flow_rejected,    ///< No route, or no companion accepts it; the caller was
                      ///< reset.
    flow_reset,       ///< A flow that no upstream holds was reset.
    owner_looked_up,  ///< A lookup for an unknown flow was started.
    owner_found,      ///< A lookup found the flow's owner.
    owner_missing,    ///< A lookup ended without an owner and without a reset.
    packet_returned,  ///< A companion returned a packet of an unknown flow.
    packet_dropped,   ///< An opening packet could not be placed; not reset,
                      ///< because a companion may have opened the flow.
    status_refused,   ///< A status is outdated or of a former incarnation.
    status_foreign,   ///< A status of another sender than the upstream.
    policy_in_force,  ///< A newer policy was applied.
    member_joined,    ///< A companion became known.
    member_left,      ///< A companion was removed.
    member_silent,    ///< A companion stopped answering.
    member_returned,  ///< A silent companion answers again.
    upstream_changed, ///< The upstream's state or incarnation changed.
    freeze_detected,  ///< The process was suspended; its state may be stale.
    companions_lost,  ///< No companion answers: the entry is isolated.
    companions_found, ///< Companions answer again.
    policy_kept,      ///< A restored store holds an older version of the
                      ///< configuration, which was not applied.
    policy_unconfirmed, ///< For too long there is no evidence that no newer
                        ///< policy exists.
    policy_confirmed    ///< There is again.
};

constexpr std::size_t flow_event_count = 25;

/// Stable names, in the order of the enumeration.
extern const std::array<std::string_view, flow_event_count> flow_event_names;

/// One event with the inputs of the decision.
struct flow_event
{
    flow_event_kind kind = flow_event_kind::flow_placed;
    result_code code = result_code::done;
    flow_endpoints flow;
    instance_id peer;
    /// Position of the policy that was in force.
    store_position policy_position;
    /// Load that the decision used, and its age.
    upstream_load load;
    duration view_age{};
    /// Number of companions that were considered or queried.
    std::uint32_t candidates = 0;
    /// Number of companions that had been tried before.
    std::uint32_t attempts = 0;
    /// Duration of the step.
    duration elapsed{};
    /// Additional text; valid only during the call.
    std::string_view detail;
};

/// Receives events. Called on the thread that drives the core.
class flow_event_sink
{
public:
    virtual ~flow_event_sink() = default;

    /// Handles one event. Must not call back into the core.
    virtual void on_event(time_point now, const flow_event& event) = 0;
};

} // namespace masticslip
