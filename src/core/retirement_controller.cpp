#include "masticslip/core/detail/retirement_controller.hpp"

#include <algorithm>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t requests_per_message = 100;
constexpr duration repeat_interval = 100ms;
constexpr duration retirement_timeout = 2s;

} // namespace

void retirement_controller::start(
    time_point now, const execution_records& records)
{
    this->started = true;
    this->deadline = now + retirement_timeout;
    this->messages = this->make_messages(now, records);
    for (const auto& sibling : this->context.heartbeats.siblings())
    {
        for (std::size_t part = 0; part < this->messages.size(); ++part)
        {
            this->unacknowledged[sibling.id].insert(
                static_cast<std::uint16_t>(part));
        }
    }
    this->repeat_at = now + repeat_interval;
    this->send_unacknowledged();
}

void retirement_controller::on_tick(time_point now)
{
    if (this->started && now >= this->repeat_at)
    {
        this->repeat_at = now + repeat_interval;
        this->send_unacknowledged();
    }
    this->erase_expired(now);
}

void retirement_controller::on_message(
    time_point now,
    const message_header& header,
    const retirement_message& message)
{
    retired_companion& item = this->retired[header.sender];
    if (item.incarnation_number < header.incarnation_number)
    {
        item = {};
        item.incarnation_number = header.incarnation_number;
        item.parts = message.parts;
        item.retired_at = message.retired_at;
    }
    item.expires = now + this->context.settings.record_window;
    item.received.insert(message.part);
    for (const auto& request : message.requests)
    {
        item.requests.insert_or_assign(request.digest, request);
    }
    this->context.output.send(header.sender, retirement_ack{message.part});
}

void retirement_controller::on_message(
    const message_header& header, const retirement_ack& message)
{
    const auto found = this->unacknowledged.find(header.sender);
    if (found == this->unacknowledged.end())
    {
        return;
    }
    found->second.erase(message.part);
    if (found->second.empty())
    {
        this->unacknowledged.erase(found);
    }
}

bool retirement_controller::is_finished(time_point now) const
{
    return this->started &&
           (this->unacknowledged.empty() || now >= this->deadline);
}

retirement_lookup retirement_controller::find(
    instance_id companion,
    incarnation incarnation_number,
    const request_key& key) const
{
    const auto found = this->retired.find(companion);
    const bool complete =
        found != this->retired.end() &&
        found->second.incarnation_number == incarnation_number &&
        found->second.received.size() == found->second.parts;
    if (!complete)
    {
        return {};
    }
    const auto& requests = found->second.requests;
    const auto record = requests.find(make_digest(key));
    const time_point complete_since =
        found->second.retired_at - this->context.settings.record_window;
    return {
        true, record == requests.end() ? nullptr : &record->second,
        complete_since};
}

std::vector<retirement_message> retirement_controller::make_messages(
    time_point now, const execution_records& records) const
{
    std::vector<retirement_message> result(1);
    for (const auto& [key, record] : records.all())
    {
        if (result.back().requests.size() == requests_per_message)
        {
            result.emplace_back();
        }
        retired_request item;
        item.digest = make_digest(key);
        item.transferred_to =
            record.transferred_to.value_or(instance_incarnation{});
        if (record.answer)
        {
            item.answer = this->context.codec.encode(*record.answer);
        }
        result.back().requests.push_back(std::move(item));
    }
    for (std::size_t part = 0; part < result.size(); ++part)
    {
        result[part].part = static_cast<std::uint16_t>(part);
        result[part].retired_at = now;
        result[part].parts = static_cast<std::uint16_t>(result.size());
    }
    return result;
}

void retirement_controller::send_unacknowledged()
{
    for (const auto& [sibling, parts] : this->unacknowledged)
    {
        for (const std::uint16_t part : parts)
        {
            this->context.output.send(sibling, this->messages[part]);
        }
    }
}

void retirement_controller::erase_expired(time_point now)
{
    std::erase_if(
        this->retired,
        [now](const auto& item) { return item.second.expires <= now; });
}

} // namespace masticslip::detail
