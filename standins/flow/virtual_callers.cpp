#include "virtual_callers.hpp"

#include <algorithm>

namespace masticslip::standin
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t first_port = 1'024;
constexpr std::uint32_t ports_per_caller = 60'000;
constexpr std::uint32_t first_sequence = 1'000;
constexpr std::uint16_t part_size = 1'200;
/// Maximum distance of a reset's sequence number from the acknowledged one.
constexpr std::uint32_t reset_window = 76'800;
/// Times after the first opening packet at which copies are sent, and at which
/// the attempt fails.
constexpr std::array<std::chrono::milliseconds, 2> copy_times{200ms, 600ms};
constexpr std::chrono::milliseconds opening_timeout{1'400};
constexpr std::chrono::milliseconds initial_retransmission_delay{200};
constexpr std::chrono::milliseconds max_retransmission_delay{1'600};
/// A user sends about one request per second.
constexpr double user_rate = 1.0;

} // namespace

void virtual_callers::start(const request_class& item, time_point end)
{
    this->classes.push_back(item);
    this->class_ends.push_back(end);
    const std::size_t index = this->classes.size() - 1;
    const auto count =
        static_cast<std::size_t>(std::max(1.0, item.per_second / user_rate));
    std::uniform_real_distribution<double> phase(0, 1'000'000 / user_rate);
    for (std::size_t i = 0; i < count; ++i)
    {
        user created;
        created.class_index = index;
        this->users.push_back(created);
        const std::size_t number = this->users.size() - 1;
        this->queue.after(
            duration(static_cast<std::int64_t>(phase(this->random))),
            [this, number] { this->begin_request(number); });
    }
}

duration virtual_callers::time_to_next_request(const request_class&)
{
    std::exponential_distribution<double> gap(user_rate);
    return duration(static_cast<std::int64_t>(gap(this->random) * 1e6));
}

duration virtual_callers::work_of(std::uint64_t request) const
{
    const auto found = this->work.find(request);
    return found == this->work.end() ? duration(30ms) : found->second;
}

void virtual_callers::begin_request(std::size_t index)
{
    user& item = this->users[index];
    const request_class& load_class = this->classes[item.class_index];
    if (this->queue.now() >= this->class_ends[item.class_index])
    {
        return;
    }
    ++this->by_class[load_class.name].asked;
    item.asked = this->queue.now();
    item.retries_left = load_class.retries;
    item.request = this->next_request++;
    if (!is_repeatable(load_class.kind))
    {
        this->non_idempotent.insert(item.request);
    }
    std::lognormal_distribution<double> spread(0, 0.4);
    this->work[item.request] = duration(static_cast<std::int64_t>(
        static_cast<double>(duration(load_class.work).count()) *
        spread(this->random)));
    const std::uint64_t request = item.request;
    this->queue.after(
        load_class.time_limit,
        [this, index, request]
        {
            if (this->users[index].request == request &&
                this->users[index].asked != time_point{})
            {
                this->close(this->users[index]);
                this->finish(index, false);
            }
        });
    if (item.flow && item.open)
    {
        this->send_request(
            index, ++item.timer_generation, initial_retransmission_delay);
    }
    else
    {
        this->open_flow(index);
    }
}

void virtual_callers::open_flow(std::size_t index)
{
    user& item = this->users[index];
    this->close(item);
    const std::uint32_t number = this->next_port++;
    item.flow = flow_endpoints{
        {this->first_address + number / ports_per_caller,
         static_cast<std::uint16_t>(first_port + number % ports_per_caller)},
        this->classes[item.class_index].target};
    item.last_flow = *item.flow;
    item.open = false;
    item.caller_sequence = first_sequence;
    this->by_flow[*item.flow] = index;
    this->send_opening(index, ++item.timer_generation, 0);
}

void virtual_callers::send_opening(
    std::size_t index, std::uint64_t timer_generation, std::uint32_t copy)
{
    user& item = this->users[index];
    if (item.timer_generation != timer_generation || item.open)
    {
        return;
    }
    virtual_packet packet;
    packet.flow = *item.flow;
    packet.flags.opens = true;
    packet.sequence = item.caller_sequence;
    // In an opening, the field holds the number of earlier copies.
    packet.acknowledged = copy;
    this->send(packet);
    const duration sent = copy == 0 ? 0ms : copy_times.at(copy - 1);
    if (copy < copy_times.size())
    {
        this->queue.after(
            duration(copy_times.at(copy)) - sent,
            [this, index, timer_generation, copy]
            { this->send_opening(index, timer_generation, copy + 1); });
        return;
    }
    this->queue.after(
        duration(opening_timeout) - sent,
        [this, index, timer_generation]
        {
            if (this->users[index].timer_generation == timer_generation &&
                !this->users[index].open)
            {
                this->fail_attempt(index, false);
            }
        });
}

void virtual_callers::send_request(
    std::size_t index, std::uint64_t timer_generation, duration pause)
{
    user& item = this->users[index];
    if (item.timer_generation != timer_generation)
    {
        return;
    }
    const request_class& load_class = this->classes[item.class_index];
    virtual_packet packet;
    packet.flow = *item.flow;
    packet.flags.acknowledges = true;
    packet.acknowledged = item.upstream_sequence;
    packet.payload_size = part_size;
    packet.request = item.request;
    packet.parts = load_class.parts;
    for (std::uint16_t part = 0; part < load_class.parts; ++part)
    {
        packet.part = part;
        packet.sequence =
            item.caller_sequence + static_cast<std::uint32_t>(part) * part_size;
        this->send(packet);
    }
    const duration next =
        std::min(duration(max_retransmission_delay), pause * 2);
    this->queue.after(
        pause, [this, index, timer_generation, next]
        { this->send_request(index, timer_generation, next); });
}

void virtual_callers::on_packet(const virtual_packet& packet)
{
    const auto found = this->by_flow.find(packet.flow);
    if (found == this->by_flow.end())
    {
        return;
    }
    const std::size_t index = found->second;
    user& item = this->users[index];
    if (packet.flags.opens)
    {
        if (!item.open)
        {
            item.open = true;
            item.upstream_sequence = packet.sequence;
            this->send_request(
                index, ++item.timer_generation, initial_retransmission_delay);
        }
        return;
    }
    const bool is_expected = item.open && packet.request == item.request &&
                             packet.sequence == item.upstream_sequence;
    if (!is_expected)
    {
        return;
    }
    const request_class& load_class = this->classes[item.class_index];
    item.caller_sequence +=
        static_cast<std::uint32_t>(load_class.parts) * part_size;
    if (packet.not_run)
    {
        this->fail_attempt(index, false);
        return;
    }
    if (!load_class.long_flows || packet.flags.closes)
    {
        this->close(item);
    }
    this->finish(index, true);
}

bool virtual_callers::accepts_reset(
    const flow_endpoints& flow, std::uint32_t sequence) const
{
    const auto found = this->by_flow.find(flow);
    if (found == this->by_flow.end())
    {
        return false;
    }
    const user& item = this->users[found->second];
    const std::uint32_t ahead = sequence - item.upstream_sequence;
    const std::uint32_t behind = item.upstream_sequence - sequence;
    return !item.open || std::min(ahead, behind) <= reset_window;
}

void virtual_callers::on_reset(
    const flow_endpoints& flow, std::uint32_t sequence)
{
    const auto found = this->by_flow.find(flow);
    if (found == this->by_flow.end() || !this->accepts_reset(flow, sequence))
    {
        return;
    }
    const std::size_t index = found->second;
    const bool was_open = this->users[index].open;
    if (this->users[index].asked == time_point{})
    {
        this->close(this->users[index]);
        return;
    }
    this->fail_attempt(index, was_open);
}

bool virtual_callers::is_open(const flow_endpoints& flow) const
{
    const auto found = this->by_flow.find(flow);
    return found != this->by_flow.end() && this->users[found->second].open;
}

std::set<std::uint64_t> virtual_callers::open_requests() const
{
    std::set<std::uint64_t> result;
    for (const user& item : this->users)
    {
        if (item.open && item.asked != time_point{})
        {
            result.insert(item.request);
        }
    }
    return result;
}

void virtual_callers::fail_attempt(std::size_t index, bool may_have_run)
{
    user& item = this->users[index];
    const request_class& load_class = this->classes[item.class_index];
    this->close(item);
    const bool may_retry = item.retries_left > 0 &&
                           (is_repeatable(load_class.kind) || !may_have_run);
    if (!may_retry)
    {
        if (!may_have_run && !is_repeatable(load_class.kind))
        {
            this->refused.push_back(item.request);
        }
        this->finish(index, false);
        return;
    }
    --item.retries_left;
    this->open_flow(index);
}

void virtual_callers::close(user& item)
{
    if (item.flow)
    {
        this->by_flow.erase(*item.flow);
        item.flow.reset();
    }
    item.open = false;
    ++item.timer_generation;
}

void virtual_callers::finish(std::size_t index, bool served)
{
    user& item = this->users[index];
    const request_class& load_class = this->classes[item.class_index];
    class_result& result = this->by_class[load_class.name];
    const duration taken = this->queue.now() - item.asked;
    if (!served)
    {
        ++result.failed;
        this->failed.push_back(item.last_flow);
        this->unanswered.push_back(item.request);
    }
    else if (taken <= load_class.target_latency)
    {
        ++result.in_time;
    }
    else
    {
        ++result.late;
        this->late.push_back(item.last_flow);
    }
    if (served)
    {
        result.latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(taken).count());
    }
    this->ended.push_back({item.asked, served});
    item.asked = {};
    ++item.timer_generation;
    this->queue.after(
        this->time_to_next_request(load_class),
        [this, index] { this->begin_request(index); });
}

double virtual_callers::served_share(time_point from, time_point to) const
{
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const auto& item : this->ended)
    {
        if (item.asked >= from && item.asked < to)
        {
            ++asked;
            served += item.served ? 1 : 0;
        }
    }
    return asked == 0
               ? 1.0
               : static_cast<double>(served) / static_cast<double>(asked);
}

} // namespace masticslip::standin
