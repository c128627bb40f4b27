#include "flow_event_text.hpp"

#include "telemetry/log.hpp"

namespace masticslip
{

namespace
{

std::int64_t milliseconds_of(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void append(std::string& text, std::string_view key, std::string_view value)
{
    append_log_field(text, key, value);
}

void append(std::string& text, std::string_view key, std::int64_t value)
{
    append_log_field(text, key, std::to_string(value));
}

} // namespace

std::string to_log_text(const flow_event& event)
{
    std::string text;
    append(
        text, "event",
        flow_event_names.at(static_cast<std::size_t>(event.kind)));
    if (event.flow.caller.port != 0)
    {
        append(text, "flow", to_string(event.flow));
    }
    if (event.peer.value != 0)
    {
        append(text, "peer", to_string(event.peer.address()));
    }
    append(text, "code", to_string(event.code));
    append(text, "policy", to_string(event.policy_position));
    append(text, "in_flight", event.load.in_flight);
    append(text, "slots", event.load.concurrency);
    append(text, "open_flows", event.load.open_flows);
    append(text, "accepts", to_string(event.load.refusal));
    append(text, "cold", event.load.is_cold ? 1 : 0);
    append(text, "view_age_ms", milliseconds_of(event.view_age));
    append(text, "candidates", event.candidates);
    append(text, "attempts", event.attempts);
    append(text, "elapsed_us", event.elapsed.count());
    if (!event.detail.empty())
    {
        append(text, "detail", event.detail);
    }
    return text;
}

} // namespace masticslip
