// Simulated callers of the virtual fleet, and the check of the outcomes that
// they were given.

#include "virtual_nodes.hpp"

#include <algorithm>

namespace masticslip::testing
{

std::size_t virtual_fleet::post(std::size_t caller)
{
    return this->start_request(caller, coap_code::post);
}

std::size_t virtual_fleet::get(std::size_t caller)
{
    return this->start_request(caller, coap_code::get);
}

void virtual_fleet::inject(
    std::size_t caller, std::size_t entry, const bytes& datagram)
{
    if (this->entries[entry]->core)
    {
        this->entries[entry]->core->on_caller_packet(
            this->clock,
            {this->caller_address(caller), make_service_id(virtual_service)},
            datagram, {});
    }
}

void virtual_fleet::watch(std::size_t index)
{
    caller_node& caller = *this->callers[index];
    caller.watch = {};
    caller.watch.last_notification = this->clock;
    caller_node::exchange item;
    item.is_observe_request = true;
    item.request.code = coap_code::get;
    item.request.token = this->next_token();
    item.request.message_id = caller.next_message_id++;
    item.request.set_uint(coap_option_number::observe, 0);
    item.request.add_text(coap_option_number::uri_path, "board");
    caller.watch_token = item.request.token;
    const bytes token = item.request.token;
    caller.exchanges[token] = item;
    this->caller_send(caller, token);
}

std::vector<std::string> virtual_fleet::violations() const
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < this->request_records.size(); ++i)
    {
        const request_record& item = this->request_records[i];
        const std::string name = "request " + std::to_string(i) + " (" +
                                 item.response_text + ", executed " +
                                 std::to_string(item.executions) + " times)";
        if (item.idempotent)
        {
            continue;
        }
        if (item.executions > 1)
        {
            result.push_back(name + ": executed more than once");
        }
        if (item.outcome == request_outcome::not_run && item.executions > 0)
        {
            result.push_back(
                name + ": reported as not run, but it was executed");
        }
        if (item.outcome == request_outcome::done && item.executions == 0)
        {
            result.push_back(
                name + ": reported as done, but it was not executed");
        }
    }
    return result;
}

std::size_t virtual_fleet::count(request_outcome outcome) const
{
    return static_cast<std::size_t>(std::count_if(
        this->request_records.begin(), this->request_records.end(),
        [outcome](const request_record& item)
        { return item.outcome == outcome; }));
}

std::size_t virtual_fleet::start_request(std::size_t index, coap_code code)
{
    caller_node& caller = *this->callers[index];
    const std::size_t number = this->request_records.size();
    request_record record;
    record.caller = index;
    record.started = this->clock;
    record.idempotent = code == coap_code::get;
    this->request_records.push_back(record);
    caller_node::exchange item;
    item.record = number;
    item.request.code = code;
    item.request.token = this->next_token();
    item.request.message_id = caller.next_message_id++;
    item.request.add_text(coap_option_number::uri_path, "signup");
    item.request.payload = bytes_of(std::to_string(number));
    if (code != coap_code::get)
    {
        item.request.set(
            coap_option_number::request_tag, bytes_of(std::to_string(number)));
        if (!caller.echo.empty())
        {
            item.request.set(coap_option_number::echo, caller.echo);
        }
    }
    const bytes token = item.request.token;
    caller.exchanges[token] = item;
    this->caller_send(caller, token);
    return number;
}

bytes virtual_fleet::next_token()
{
    return detail::make_upstream_token(this->next_token_value++);
}

void virtual_fleet::caller_send(caller_node& caller, const bytes& token)
{
    caller_node::exchange& item = caller.exchanges.at(token);
    item.repeat_at = this->clock + caller_timeout * (1U << item.transmissions);
    ++item.transmissions;
    std::uniform_int_distribution<std::size_t> pick(
        0, this->entries.size() - 1);
    const std::size_t entry = pick(this->random);
    const bytes datagram = this->codec.encode(item.request);
    const std::size_t index = caller.index;
    this->transmit(
        {}, this->entries[entry]->id,
        [this, index, entry, datagram]
        {
            if (this->clock >= this->entries[entry]->frozen_until)
            {
                this->inject(index, entry, datagram);
            }
        });
}

void virtual_fleet::caller_receive(std::size_t index, const bytes& datagram)
{
    caller_node& caller = *this->callers[index];
    const auto message = this->codec.decode(datagram);
    if (!message || !message->is_response())
    {
        return;
    }
    if (this->on_delivery)
    {
        this->on_delivery(index, *message);
    }
    if (const auto* echo = message->find(coap_option_number::echo))
    {
        caller.echo = echo->value;
    }
    if (message->type == coap_type::confirmable)
    {
        coap_message ack;
        ack.type = coap_type::acknowledgement;
        ack.message_id = message->message_id;
        const bytes answer = this->codec.encode(ack);
        std::uniform_int_distribution<std::size_t> pick(
            0, this->entries.size() - 1);
        const std::size_t entry = pick(this->random);
        this->transmit(
            {}, this->entries[entry]->id,
            [this, index, entry, answer]
            { this->inject(index, entry, answer); });
    }
    const auto found = caller.exchanges.find(message->token);
    if (found != caller.exchanges.end())
    {
        caller_node::exchange& item = found->second;
        const bool wants_echo = message->code == coap_code::unauthorized &&
                                item.echo_rounds < max_echo_rounds;
        if (wants_echo)
        {
            if (message->message_id == item.request.message_id)
            {
                ++item.echo_rounds;
                item.request.set(coap_option_number::echo, caller.echo);
                item.request.message_id = caller.next_message_id++;
                item.transmissions = 0;
                this->caller_send(caller, message->token);
            }
            return;
        }
        this->finish_request(caller, message->token, &*message);
    }
    if (message->token != caller.watch_token)
    {
        return;
    }
    watch_state& watch = caller.watch;
    const auto observe = message->find_uint(coap_option_number::observe);
    if (!observe)
    {
        watch.ended = true;
        watch.end_reason = text_of(message->payload);
        return;
    }
    watch.established = true;
    if (*observe <= watch.last_observe)
    {
        ++watch.stale;
        return;
    }
    watch.longest_gap =
        std::max(watch.longest_gap, this->clock - watch.last_notification);
    watch.last_notification = this->clock;
    watch.last_observe = *observe;
    ++watch.notifications;
}

void virtual_fleet::caller_tick(std::size_t index)
{
    caller_node& caller = *this->callers[index];
    std::vector<bytes> due;
    for (const auto& [token, item] : caller.exchanges)
    {
        if (this->clock >= item.repeat_at)
        {
            due.push_back(token);
        }
    }
    for (const bytes& token : due)
    {
        if (caller.exchanges.at(token).transmissions >= max_transmissions)
        {
            this->finish_request(caller, token, nullptr);
            continue;
        }
        this->caller_send(caller, token);
    }
}

void virtual_fleet::finish_request(
    caller_node& caller, const bytes& token, const coap_message* answer)
{
    const auto node = caller.exchanges.extract(token);
    if (node.mapped().is_observe_request)
    {
        return;
    }
    request_record& record = this->request_records[node.mapped().record];
    record.ended = this->clock;
    if (answer == nullptr)
    {
        record.outcome = request_outcome::no_answer;
        return;
    }
    record.response_text = text_of(answer->payload);
    record.retry_after =
        answer->find_uint(coap_option_number::max_age).value_or(0);
    switch (answer->code)
    {
    case coap_code::service_unavailable:
    case coap_code::unauthorized:
    case coap_code::incomplete:
        record.outcome = request_outcome::not_run;
        break;
    case coap_code::gateway_timeout:
        record.outcome = request_outcome::unknown;
        break;
    default:
        record.outcome = request_outcome::done;
        break;
    }
}

} // namespace masticslip::testing
