#include "caller_session.hpp"

#include <algorithm>

namespace masticslip::standins
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t max_transmissions = 6;
constexpr std::uint32_t max_echo_rounds = 4;
/// Must equal the values in upstream_options.hpp.
constexpr std::uint8_t block_exponent = 6;
constexpr std::uint32_t document_blocks = 5;
constexpr std::chrono::milliseconds watch_check_interval = 50ms;
constexpr std::uint32_t half_observe_range = 1U << 23U;

std::string to_text(const bytes& value)
{
    return {value.begin(), value.end()};
}

/// Compares Observe values in serial number order (RFC 7641, section 3.4).
bool is_newer(std::uint32_t value, std::uint32_t than)
{
    return (than < value && value - than < half_observe_range) ||
           (than > value && than - value > half_observe_range);
}

} // namespace

const char* to_string(outcome value)
{
    switch (value)
    {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    case outcome::no_answer:
        return "no_answer";
    }
    return "invalid";
}

caller_session::caller_session(
    boost::asio::io_context& context,
    std::vector<endpoint> entries,
    std::chrono::milliseconds acknowledge_timeout,
    std::uint64_t seed)
    : context(context), entries(std::move(entries)),
      acknowledge_timeout(acknowledge_timeout), random(seed), socket(context),
      watch_timer(context)
{
    this->next_message_id = static_cast<std::uint16_t>(this->random());
    this->next_token = static_cast<std::uint32_t>(this->random());
}

bool caller_session::open(const endpoint& local, std::string& reason)
{
    if (!this->socket.open(local, reason))
    {
        return false;
    }
    this->socket.start([this](const endpoint&, byte_view datagram)
                       { this->on_datagram(datagram); });
    return true;
}

void caller_session::post(const std::string& id, outcome_handler handler)
{
    coap_message request = this->make_request(coap_code::post, "signup");
    request.payload.assign(id.begin(), id.end());
    bytes tag(8);
    std::generate(
        tag.begin(), tag.end(),
        [this] { return static_cast<std::uint8_t>(this->random()); });
    request.set(coap_option_number::request_tag, std::move(tag));
    const auto started = steady::now();
    this->start_exchange(
        std::move(request),
        [handler = std::move(handler), started](const coap_message* answer)
        { handler(make_result(answer, started)); });
}

void caller_session::upload(
    const std::string& id, std::uint32_t blocks, outcome_handler handler)
{
    auto state = std::make_shared<upload_state>();
    state->id = id;
    state->blocks = blocks;
    state->handler = std::move(handler);
    state->started = steady::now();
    state->content = id + "\n";
    state->content.resize(std::size_t{blocks} * (16U << block_exponent), '#');
    this->send_block(state);
}

void caller_session::send_block(const std::shared_ptr<upload_state>& state)
{
    coap_message request = this->make_request(coap_code::post, "upload");
    const block_value block{
        state->next, state->next + 1 < state->blocks, block_exponent};
    request.set_uint(coap_option_number::block1, encode_block(block));
    const std::string tag = state->id.substr(0, 8);
    request.set(coap_option_number::request_tag, {tag.begin(), tag.end()});
    const std::string part = state->content.substr(
        std::size_t{state->next} * block.size(), block.size());
    request.payload.assign(part.begin(), part.end());
    this->start_exchange(
        std::move(request),
        [this, state](const coap_message* answer)
        {
            if (answer != nullptr &&
                answer->code == coap_code::continue_transfer)
            {
                ++state->next;
                this->send_block(state);
                return;
            }
            state->handler(make_result(answer, state->started));
        });
}

void caller_session::read_document(
    const std::string& id, outcome_handler handler)
{
    auto state = std::make_shared<document_state>();
    state->id = id;
    state->handler = std::move(handler);
    state->started = steady::now();
    this->read_block(state);
}

void caller_session::read_block(const std::shared_ptr<document_state>& state)
{
    coap_message request = this->make_request(coap_code::get, "document");
    request.add_text(coap_option_number::uri_query, state->id);
    if (state->next > 0)
    {
        request.set_uint(
            coap_option_number::block2,
            encode_block({state->next, false, block_exponent}));
    }
    this->start_exchange(
        std::move(request),
        [this, state](const coap_message* answer)
        {
            const std::string expected =
                state->id + " block " + std::to_string(state->next);
            request_result result = make_result(answer, state->started);
            const bool done = result.end == outcome::done;
            if (done && !result.text.starts_with(expected))
            {
                result.end = outcome::unknown;
                result.text = "answer for another request: " + result.text;
            }
            else if (done && ++state->next < document_blocks)
            {
                this->read_block(state);
                return;
            }
            state->handler(result);
        });
}

void caller_session::watch(std::chrono::milliseconds timeout)
{
    this->watch_timeout = timeout;
    this->last_notification = steady::now();
    this->register_watch();
    this->check_watch();
}

void caller_session::register_watch()
{
    coap_message request = this->make_request(coap_code::get, "board");
    request.set_uint(coap_option_number::observe, 0);
    this->watch_token = request.token;
    this->last_observe = 0;
    this->start_exchange(
        std::move(request),
        [this](const coap_message* answer)
        {
            const bool accepted =
                answer != nullptr &&
                answer->find(coap_option_number::observe) != nullptr;
            if (accepted)
            {
                this->observing = true;
                this->on_notification(*answer);
            }
            else
            {
                this->observing = false;
                this->watch_token.clear();
                this->schedule_registration(answer);
            }
        });
}

void caller_session::check_watch()
{
    if (this->closed)
    {
        return;
    }
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(
        steady::now() - this->last_notification);
    if (this->observing)
    {
        this->counts.longest_gap = std::max(this->counts.longest_gap, gap);
    }
    const bool registering = this->exchanges.contains(this->watch_token);
    if (gap > this->watch_timeout && !registering)
    {
        this->counts.breaks += this->observing ? 1 : 0;
        this->observing = false;
        this->last_notification = steady::now();
        this->register_watch();
    }
    this->watch_timer.expires_after(watch_check_interval);
    this->watch_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                this->check_watch();
            }
        });
}

void caller_session::close()
{
    this->closed = true;
    this->watch_timer.cancel();
    this->exchanges.clear();
    this->socket.close();
}

coap_message
caller_session::make_request(coap_code code, const std::string& path)
{
    coap_message request;
    request.code = code;
    request.message_id = this->next_message_id++;
    const std::uint32_t token = this->next_token++;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        request.token.push_back(
            static_cast<std::uint8_t>(token >> static_cast<unsigned>(shift)));
    }
    request.add_text(coap_option_number::uri_path, path);
    if (request.is_non_idempotent() && !this->echo.empty())
    {
        request.set(coap_option_number::echo, this->echo);
    }
    return request;
}

void caller_session::start_exchange(
    coap_message request, answer_handler handler)
{
    const bytes token = request.token;
    exchange item;
    item.request = std::move(request);
    item.on_answer = std::move(handler);
    item.timer = std::make_unique<boost::asio::steady_timer>(this->context);
    this->exchanges[token] = std::move(item);
    this->transmit(token);
}

void caller_session::transmit(const bytes& token)
{
    const auto found = this->exchanges.find(token);
    if (found == this->exchanges.end())
    {
        return;
    }
    exchange& item = found->second;
    if (item.transmissions >= max_transmissions)
    {
        const auto node = this->exchanges.extract(found);
        node.mapped().on_answer(nullptr);
        return;
    }
    this->send_to_random_entry(this->codec.encode(item.request));
    item.timer->expires_after(
        this->acknowledge_timeout * (1U << item.transmissions));
    ++item.transmissions;
    item.timer->async_wait(
        [this, token](const boost::system::error_code& error)
        {
            if (!error)
            {
                this->transmit(token);
            }
        });
}

void caller_session::on_datagram(byte_view datagram)
{
    const auto message = this->codec.decode(datagram);
    if (!message || !message->is_response())
    {
        return;
    }
    if (message->type == coap_type::confirmable)
    {
        this->acknowledge(*message);
    }
    if (const auto* echo_option = message->find(coap_option_number::echo))
    {
        this->echo = echo_option->value;
    }
    this->on_response(*message);
}

void caller_session::on_response(const coap_message& message)
{
    const auto found = this->exchanges.find(message.token);
    if (found == this->exchanges.end())
    {
        if (this->observing && message.token == this->watch_token)
        {
            this->on_notification(message);
        }
        return;
    }
    if (this->retry_with_echo(found->second, message))
    {
        return;
    }
    const auto node = this->exchanges.extract(found);
    node.mapped().on_answer(&message);
}

bool caller_session::retry_with_echo(
    exchange& item, const coap_message& response)
{
    const bool wanted = response.code == coap_code::unauthorized &&
                        item.echo_rounds < max_echo_rounds;
    if (!wanted)
    {
        return false;
    }
    // A late 4.01 to an earlier message id: the request with the Echo option
    // has already been sent.
    const bool late = response.type == coap_type::acknowledgement &&
                      response.message_id != item.request.message_id;
    if (late)
    {
        return true;
    }
    ++item.echo_rounds;
    item.request.set(coap_option_number::echo, this->echo);
    item.request.message_id = this->next_message_id++;
    item.transmissions = 0;
    this->transmit(item.request.token);
    return true;
}

void caller_session::on_notification(const coap_message& message)
{
    const auto observe = message.find_uint(coap_option_number::observe);
    if (!observe)
    {
        this->observing = false;
        ++this->counts.breaks;
        ++this->counts.ended_by_server;
        this->schedule_registration(&message);
        return;
    }
    ++this->counts.notifications;
    const bool first = this->last_observe == 0;
    if (!first && !is_newer(*observe, this->last_observe))
    {
        ++this->counts.stale;
        return;
    }
    this->last_observe = *observe;
    this->last_notification = steady::now();
}

void caller_session::schedule_registration(const coap_message* answer)
{
    const auto wait = std::chrono::seconds(
        answer == nullptr
            ? 1
            : answer->find_uint(coap_option_number::max_age).value_or(1));
    this->last_notification = steady::now() - this->watch_timeout + wait;
}

void caller_session::acknowledge(const coap_message& message)
{
    coap_message ack;
    ack.type = coap_type::acknowledgement;
    ack.message_id = message.message_id;
    this->send_to_random_entry(this->codec.encode(ack));
}

void caller_session::send_to_random_entry(const bytes& datagram)
{
    const std::size_t index = this->random() % this->entries.size();
    this->socket.send(this->entries[index], datagram);
}

outcome caller_session::classify_answer(const coap_message* answer)
{
    if (answer == nullptr)
    {
        return outcome::no_answer;
    }
    switch (answer->code)
    {
    case coap_code::service_unavailable:
    case coap_code::unauthorized:
    case coap_code::incomplete:
        return outcome::not_run;
    case coap_code::gateway_timeout:
        return outcome::unknown;
    default:
        return outcome::done;
    }
}

request_result caller_session::make_result(
    const coap_message* answer, steady::time_point started)
{
    request_result result;
    result.end = classify_answer(answer);
    result.latency = std::chrono::duration_cast<std::chrono::microseconds>(
        steady::now() - started);
    if (answer != nullptr)
    {
        result.text = to_text(answer->payload);
        result.retry_after = std::chrono::seconds(
            answer->find_uint(coap_option_number::max_age).value_or(0));
    }
    return result;
}

} // namespace masticslip::standins
