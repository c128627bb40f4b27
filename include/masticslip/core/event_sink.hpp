#pragma once
/// Events that the core reports to logs, metrics and traces.

#include "masticslip/core/messages.hpp"
#include "masticslip/core/result_code.hpp"
#include "masticslip/core/types.hpp"

#include <cstdint>
#include <string_view>

namespace masticslip
{

/// Each kind of event is counted; most are also logged.
enum class event_kind : std::uint8_t
{
    packet_forwarded,
    packet_dropped,
    packet_retried,
    packet_relayed,
    reply_delivered,
    flow_created,
    flow_looked_up,
    flow_given_up,
    flow_redirected,
    request_executed,
    request_completed,
    request_refused,
    request_unknown,
    request_transferred,
    request_cancelled,
    request_repeated,
    notification_sent,
    watch_started,
    watch_ended,
    watch_handed_over,
    configuration_in_force,
    configuration_refused,
    member_changed,
    upstream_changed,
    freeze_detected,
    drain_started,
    drain_finished
};

constexpr std::size_t event_kind_count = 27;

/// Returns the stable name of an event.
std::string_view to_string(event_kind kind);

struct core_event
{
    event_kind kind = event_kind::packet_forwarded;
    result_code code = result_code::done;
    flow_key flow;
    instance_id peer;
    generation number = 0;
    /// Duration of the reported step; zero if not applicable.
    duration elapsed{};
    trace_context trace;
    /// Additional information; valid only during the call.
    std::string_view detail;
};

/// Receives events. Called on the thread that drives the core.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// Handles one event. Must not call back into the core.
    virtual void on_event(time_point now, const core_event& event) = 0;
};

} // namespace masticslip
