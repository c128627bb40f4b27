#include "masticslip/core/detail/membership_controller.hpp"

#include "masticslip/core/detail/heartbeat_controller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticslip::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration gossip_interval = 200ms;
constexpr duration digest_interval = 2s;
constexpr duration failure_check_interval = 500ms;
constexpr duration suspect_after = 1500ms;
constexpr duration remove_after = 3s;
/// Longer than temporary partitions between regions usually last.
constexpr duration departed_retention = 2h;
constexpr duration join_interval = 100ms;
/// A node that finds no peer for this long assumes that it is the first.
constexpr duration join_limit = 3s;
constexpr std::size_t gossip_fanout = 3;
constexpr std::size_t gossip_batch = 16;
constexpr std::size_t repair_batch = 64;
constexpr std::size_t max_listed_entries = 16;
constexpr std::uint32_t base_transmissions = 2;

std::size_t bucket_of(instance_id id)
{
    return hash_pair(id.value, 1) % digest_buckets;
}

std::uint64_t fingerprint(const member_record& record)
{
    const auto state = static_cast<std::uint64_t>(record.state);
    const auto version = (std::uint64_t{record.version} << 8U) | state;
    return hash_pair(
        hash_pair(record.id.value, record.incarnation_number.value), version);
}

} // namespace

membership_controller::membership_controller(
    internal_output& output,
    event_sink& events,
    instance_id self,
    std::uint64_t random_seed)
    : output(output), events(events), self(self), random(random_seed)
{
}

void membership_controller::on_tick(time_point now)
{
    this->repeat_join(now);
    if (now >= this->next_gossip)
    {
        this->next_gossip = now + gossip_interval;
        this->send_gossip();
    }
    if (now >= this->next_digest)
    {
        this->next_digest = now + digest_interval;
        this->send_digest();
        this->expire_departed(now);
    }
    if (now >= this->next_failure_check)
    {
        this->next_failure_check = now + failure_check_interval;
        this->check_silent_members(now);
    }
}

void membership_controller::on_message(
    time_point now, const message_header& header, const heartbeat& message)
{
    if (message.self.id != header.sender)
    {
        return;
    }
    this->merge(now, message.self);
    auto& seen = this->observations[header.sender];
    seen.last_heard = now;
    seen.in_force = header.generation_in_force;
    const member_record* known = this->members.find(header.sender);
    if (known->state == member_state::serving ||
        known->state == member_state::draining)
    {
        seen.suspected = {};
    }
    this->answer_heartbeat(header, message);
}

void membership_controller::on_message(
    time_point now, const message_header&, const gossip_message& message)
{
    for (const auto& record : message.records)
    {
        if (record.id != this->self)
        {
            this->merge(now, record);
        }
        else if (this->on_own_record)
        {
            this->on_own_record(now, record);
        }
    }
}

void membership_controller::on_message(
    time_point, const message_header& header, const digest_message& message)
{
    digest_message own_digest = this->make_digest();
    if (message.is_answer)
    {
        this->synchronized =
            this->synchronized || own_digest.buckets == message.buckets;
        return;
    }
    gossip_message repair;
    for (const auto& [id, record] : this->members.all())
    {
        const std::size_t bucket = bucket_of(id);
        if (own_digest.buckets.at(bucket) == message.buckets.at(bucket))
        {
            continue;
        }
        repair.records.push_back(record);
        if (repair.records.size() == repair_batch)
        {
            this->output.send(header.sender, repair);
            repair.records.clear();
        }
    }
    if (!repair.records.empty())
    {
        this->output.send(header.sender, repair);
    }
    own_digest.is_answer = true;
    this->output.send(header.sender, own_digest);
}

void membership_controller::join(
    time_point now, const std::vector<instance_id>& entries)
{
    this->seeds = entries;
    std::erase(this->seeds, this->self);
    this->join_started = now;
    this->synchronized = this->seeds.empty();
}

bool membership_controller::is_synchronized(time_point now) const
{
    return this->synchronized || now - this->join_started > join_limit;
}

void membership_controller::repeat_join(time_point now)
{
    if (this->synchronized || now < this->next_join)
    {
        return;
    }
    this->next_join = now + join_interval;
    for (const instance_id seed : this->seeds)
    {
        this->output.send(seed, this->make_digest());
    }
}

void membership_controller::announce_self(
    time_point now, const member_record& record)
{
    this->merge(now, record);
}

void membership_controller::reset_silence_timers(time_point now)
{
    for (auto& [id, seen] : this->observations)
    {
        seen.last_heard = now;
    }
}

void membership_controller::notify_peers()
{
    for (const instance_id peer : this->random_peers(gossip_fanout))
    {
        this->output.send(peer, gossip_message{});
    }
}

digest_message membership_controller::make_digest() const
{
    digest_message digest;
    for (const auto& [id, record] : this->members.all())
    {
        digest.buckets.at(bucket_of(id)) ^= fingerprint(record);
    }
    return digest;
}

bool membership_controller::merge(time_point now, const member_record& record)
{
    const bool is_new = this->members.find(record.id) == nullptr;
    if (!this->members.merge(record))
    {
        return false;
    }
    const auto peers = static_cast<double>(this->members.entries().size());
    const auto rounds = static_cast<std::uint32_t>(std::log2(peers + 1));
    this->updates.push_back({record.id, base_transmissions + rounds});
    if (is_new)
    {
        this->observations[record.id].last_heard = now;
    }
    if (record.state == member_state::left)
    {
        this->departed[record.id] = now;
    }
    core_event event;
    event.kind = event_kind::member_changed;
    event.peer = record.id;
    event.detail = to_string(record.state);
    this->events.on_event(now, event);
    return true;
}

void membership_controller::send_gossip()
{
    if (this->updates.empty())
    {
        return;
    }
    gossip_message message;
    const std::size_t count = std::min(gossip_batch, this->updates.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        pending_update update = this->updates.front();
        this->updates.pop_front();
        const member_record* record = this->members.find(update.id);
        if (record != nullptr)
        {
            message.records.push_back(*record);
        }
        if (--update.sends_left > 0)
        {
            this->updates.push_back(update);
        }
    }
    for (const instance_id peer : this->random_peers(gossip_fanout))
    {
        this->output.send(peer, message);
    }
}

void membership_controller::send_digest()
{
    for (const instance_id peer : this->random_peers(1))
    {
        this->output.send(peer, this->make_digest());
    }
    const instance_id departed = this->random_departed_entry();
    if (departed != instance_id{})
    {
        this->output.send(departed, this->make_digest());
    }
}

instance_id membership_controller::random_departed_entry()
{
    std::vector<instance_id> candidates;
    for (const auto& [id, since] : this->departed)
    {
        const member_record* record = this->members.find(id);
        if (record != nullptr && record->role == member_role::entry)
        {
            candidates.push_back(id);
        }
    }
    if (candidates.empty())
    {
        return {};
    }
    return candidates[this->random() % candidates.size()];
}

void membership_controller::check_silent_members(time_point now)
{
    std::vector<member_record> silent;
    for (auto& [id, seen] : this->observations)
    {
        const bool is_silent =
            now - seen.last_heard > suspect_after && id != this->self;
        if (!is_silent)
        {
            continue;
        }
        if (!this->is_responsible_for(id, seen))
        {
            // Another entry watches it; the timer restarts if that changes.
            seen.last_heard = now;
            continue;
        }
        const member_record* record = this->members.find(id);
        if (record != nullptr && record->state != member_state::left)
        {
            silent.push_back(*record);
        }
    }
    for (const auto& record : silent)
    {
        this->update_suspicion(now, record);
    }
}

bool membership_controller::is_responsible_for(
    instance_id watched, observation& seen) const
{
    const std::uint64_t revision = this->members.entries_revision();
    if (seen.watch_revision != revision)
    {
        seen.watch_revision = revision;
        seen.is_watched =
            is_watcher(this->self, watched, this->members.entries());
    }
    return seen.is_watched;
}

void membership_controller::update_suspicion(
    time_point now, const member_record& record)
{
    auto& seen = this->observations[record.id];
    if (record.state != member_state::suspect)
    {
        seen.suspected = now;
        this->change_state(now, record, member_state::suspect);
        return;
    }
    if (seen.suspected == time_point{})
    {
        seen.suspected = now;
    }
    if (now - seen.suspected > remove_after)
    {
        this->change_state(now, record, member_state::left);
    }
}

void membership_controller::change_state(
    time_point now, const member_record& record, member_state state)
{
    member_record changed = record;
    changed.state = state;
    ++changed.version;
    this->merge(now, changed);
}

void membership_controller::expire_departed(time_point now)
{
    std::erase_if(
        this->departed,
        [this, now](const auto& item)
        {
            const member_record* record = this->members.find(item.first);
            const bool returned =
                record == nullptr || record->state != member_state::left;
            const bool expired = now - item.second > departed_retention;
            if (!returned && expired)
            {
                this->members.erase(item.first);
                this->observations.erase(item.first);
            }
            return returned || expired;
        });
}

void membership_controller::answer_heartbeat(
    const message_header& header, const heartbeat& message)
{
    heartbeat_answer answer;
    answer.heartbeat_sent = message.sent;
    answer.known = *this->members.find(header.sender);
    std::vector<instance_id> serving;
    for (const instance_id id : this->members.entries())
    {
        if (this->members.find(id)->state == member_state::serving)
        {
            serving.push_back(id);
        }
    }
    answer.entries = choose_watchers(header.sender, serving);
    for (const instance_id id : serving)
    {
        const bool listed =
            std::find(answer.entries.begin(), answer.entries.end(), id) !=
            answer.entries.end();
        if (!listed && answer.entries.size() < max_listed_entries)
        {
            answer.entries.push_back(id);
        }
    }
    for (const instance_id id :
         this->members.companions_of(answer.known.service))
    {
        const member_record& record = *this->members.find(id);
        const bool wanted = record.state == member_state::serving &&
                            (!this->usable || this->usable(record));
        if (wanted && answer.siblings.size() < max_candidates)
        {
            answer.siblings.push_back({id, record.incarnation_number});
        }
    }
    this->output.send(header.sender, answer);
}

std::vector<instance_id> membership_controller::random_peers(std::size_t count)
{
    std::vector<instance_id> peers = this->members.entries();
    std::erase(peers, this->self);
    std::vector<instance_id> chosen;
    std::sample(
        peers.begin(), peers.end(), std::back_inserter(chosen), count,
        this->random);
    return chosen;
}

} // namespace masticslip::detail
