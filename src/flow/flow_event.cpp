#include "masticslip/flow/flow_event.hpp"

namespace masticslip
{

const std::array<std::string_view, flow_event_count> flow_event_names{
    "flow_placed",      "flow_moved",      "flow_opened",
    "flow_refused",     "flow_rejected",   "flow_reset",
    "owner_looked_up",  "owner_found",     "owner_missing",
    "packet_returned",  "packet_dropped",  "status_refused",
    "status_foreign",   "policy_in_force", "member_joined",
    "member_left",      "member_silent",   "member_returned",
    "upstream_changed", "freeze_detected", "companions_lost",
    "companions_found", "policy_kept",     "policy_unconfirmed",
    "policy_confirmed"};

} // namespace masticslip
