#include "masticslip/core/detail/config_controller.hpp"

#include <algorithm>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration request_interval = 50ms;
constexpr duration catch_up_limit = 3s;

} // namespace

bool config_controller::offer(
    time_point now, std::string_view document, failure_reason& reason)
{
    auto parsed = parse_configuration(document, reason);
    if (!parsed)
    {
        core_event event;
        event.kind = event_kind::configuration_refused;
        event.code = reason.code;
        event.detail = reason.text;
        this->events.on_event(now, event);
        return false;
    }
    if (parsed->number <= this->number())
    {
        return true;
    }
    this->in_force = std::make_shared<const configuration>(std::move(*parsed));
    this->text = document;
    this->newest_known = std::max(this->newest_known, this->number());
    core_event event;
    event.kind = event_kind::configuration_in_force;
    event.number = this->number();
    event.detail = this->in_force->change.id;
    this->events.on_event(now, event);
    if (this->on_changed)
    {
        this->on_changed(now);
    }
    return true;
}

void config_controller::on_header(time_point now, const message_header& header)
{
    if (header.generation_in_force <= this->number())
    {
        return;
    }
    if (header.generation_in_force > this->newest_known)
    {
        this->newest_known = header.generation_in_force;
        this->behind_since = now;
    }
    if (now >= this->next_request)
    {
        this->next_request = now + request_interval;
        this->output.send(header.sender, config_request{});
    }
}

bool config_controller::is_up_to_date(time_point now) const
{
    return this->newest_known <= this->number() ||
           now - this->behind_since > catch_up_limit;
}

void config_controller::on_message(
    time_point, const message_header& header, const config_request&)
{
    if (this->in_force)
    {
        this->output.send(header.sender, config_push{this->text});
    }
}

void config_controller::on_message(
    time_point now, const message_header&, const config_push& message)
{
    failure_reason reason;
    this->offer(now, message.document, reason);
}

} // namespace masticslip::detail
