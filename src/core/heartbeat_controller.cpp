#include "masticslip/core/detail/heartbeat_controller.hpp"

#include "masticslip/core/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration heartbeat_interval = 500ms;
/// Time without an answer after which heartbeats go to the seeds again.
constexpr duration seed_retry_after = 2s;
/// Any fixed value, equal in all instances; here `watc` in ASCII.
constexpr std::uint64_t watcher_hash_seed = 0x77617463;

} // namespace

std::vector<instance_id>
choose_watchers(instance_id watched, const std::vector<instance_id>& entries)
{
    std::vector<weighted_instance> members;
    members.reserve(entries.size());
    for (const instance_id id : entries)
    {
        if (id != watched)
        {
            members.push_back({id, 1});
        }
    }
    const auto key = hash_pair(watched.value, watcher_hash_seed);
    return rank_candidates(key, members, watcher_count);
}

bool is_watcher(
    instance_id watcher,
    instance_id watched,
    const std::vector<instance_id>& entries)
{
    const auto key = hash_pair(watched.value, watcher_hash_seed);
    const double own = rendezvous_score(key, {watcher, 1});
    std::size_t better = 0;
    for (const instance_id id : entries)
    {
        const bool other = id != watched && id != watcher;
        if (other && rendezvous_score(key, {id, 1}) > own)
        {
            ++better;
        }
        if (better == watcher_count)
        {
            return false;
        }
    }
    return watcher != watched;
}

heartbeat_controller::heartbeat_controller(
    internal_output& output, member_record self, std::vector<instance_id> seeds)
    : output(output), record(std::move(self)), seeds(std::move(seeds))
{
    std::erase(this->seeds, this->record.id);
    this->known_entries = this->seeds;
}

void heartbeat_controller::on_tick(time_point now)
{
    if (now >= this->next_send)
    {
        this->send_now(now);
    }
}

void heartbeat_controller::send_now(time_point now)
{
    this->next_send = now + heartbeat_interval;
    auto targets = choose_watchers(this->record.id, this->known_entries);
    if (!this->joined || now - this->last_answer > seed_retry_after)
    {
        targets.insert(targets.end(), this->seeds.begin(), this->seeds.end());
    }
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    for (const instance_id target : targets)
    {
        this->output.send(target, heartbeat{this->record, now});
    }
}

bool heartbeat_controller::on_answer(
    time_point now,
    const message_header& header,
    const heartbeat_answer& answer)
{
    this->joined = true;
    this->last_answer = now;
    this->known_entries = answer.entries;
    const auto& known = this->known_entries;
    if (std::find(known.begin(), known.end(), header.sender) == known.end())
    {
        this->known_entries.push_back(header.sender);
    }
    this->known_siblings = answer.siblings;
    std::erase_if(
        this->known_siblings, [this](const instance_incarnation& item)
        { return item.id == this->record.id; });
    return this->refute(now, answer.known);
}

bool heartbeat_controller::refute(time_point now, const member_record& reported)
{
    const bool differs =
        reported.incarnation_number == this->record.incarnation_number &&
        reported.version >= this->record.version &&
        reported.state != this->record.state;
    if (differs)
    {
        this->record.version = reported.version + 1;
        this->send_now(now);
    }
    return differs;
}

void heartbeat_controller::set_state(time_point now, member_state state)
{
    if (this->record.state != state)
    {
        this->record.state = state;
        ++this->record.version;
        this->send_now(now);
    }
}

void heartbeat_controller::set_service(time_point now, service_id service)
{
    if (this->record.service != service)
    {
        this->record.service = service;
        ++this->record.version;
        this->send_now(now);
    }
}

} // namespace masticslip::detail
