#include "masticslip/core/event_sink.hpp"

#include <array>

namespace masticslip
{

namespace
{

constexpr std::array<std::string_view, event_kind_count> event_names{
    "packet_forwarded",      "packet_dropped",      "packet_retried",
    "packet_relayed",        "reply_delivered",     "flow_created",
    "flow_looked_up",        "flow_given_up",       "flow_redirected",
    "request_executed",      "request_completed",   "request_refused",
    "request_unknown",       "request_transferred", "request_cancelled",
    "request_repeated",      "notification_sent",   "watch_started",
    "watch_ended",           "watch_handed_over",   "configuration_in_force",
    "configuration_refused", "member_changed",      "upstream_changed",
    "freeze_detected",       "drain_started",       "drain_finished"};

} // namespace

std::string_view to_string(event_kind kind)
{
    return event_names.at(static_cast<std::size_t>(kind));
}

} // namespace masticslip
