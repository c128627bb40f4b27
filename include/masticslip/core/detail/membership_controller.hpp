#pragma once
/// An entry's membership: watches instances, spreads changes by gossip and
/// repairs differences by digests.
///
/// Method: SWIM (Das, Gupta and Motivala, DSN 2002): incarnation numbers and
/// suspicion before removal. Unlike SWIM, each instance is watched by a few
/// entries chosen by rendezvous hash, so the cost for a companion is constant.

#include "masticslip/core/event_sink.hpp"
#include "masticslip/core/internal_output.hpp"
#include "masticslip/core/member_table.hpp"

#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

namespace masticslip::detail
{

/// What a watcher heard of one instance.
struct observation
{
    time_point last_heard;
    time_point suspected;
    /// Configuration generation that the instance has in force.
    generation in_force = 0;
    /// Set of entries for which `is_watched_here` was found.
    std::uint64_t duty_revision = 0;
    bool is_watched_here = false;
};

/// Not thread-safe.
class membership_controller
{
public:
    /// Returns whether an instance may be given new work.
    using usable_filter = std::function<bool(const member_record&)>;

    membership_controller(
        internal_output& output,
        event_sink& events,
        instance_id self,
        std::uint64_t random_seed);

    /// Sends due gossip and digests and judges silent instances.
    void on_tick(time_point now);

    void on_message(
        time_point now, const message_header& header, const heartbeat& message);
    void on_message(
        time_point now,
        const message_header& header,
        const gossip_message& message);
    void on_message(
        time_point now,
        const message_header& header,
        const digest_message& message);

    /// Merges this node's own record and spreads it.
    void announce_self(time_point now, const member_record& self);

    /// Restarts all silence clocks, for use after this node was frozen.
    void forgive_silence(time_point now);

    /// Tells a few peers that there is news (the message header carries the
    /// configuration generation).
    void nudge_peers();

    /// Called with what others believe of this node, if that reaches it by
    /// gossip.
    using self_handler = std::function<void(time_point, const member_record&)>;
    void set_self_handler(self_handler handler)
    {
        this->on_self = std::move(handler);
    }

    /// Limits the siblings named in heartbeat answers.
    void set_usable_filter(usable_filter filter)
    {
        this->usable = std::move(filter);
    }

    /// What this node heard itself from the instances it watches.
    [[nodiscard]] const std::unordered_map<instance_id, observation>&
    heard() const
    {
        return this->observations;
    }

    [[nodiscard]] const member_table& table() const
    {
        return this->members;
    }

    /// Asks entries for what this node lacks; until one has confirmed that
    /// nothing is missing, `is_synchronized` is false.
    void join(time_point now, const std::vector<instance_id>& seeds);

    /// True once a peer has confirmed the table, or none could be found in
    /// time.
    [[nodiscard]] bool is_synchronized(time_point now) const;

    /// Digest of the whole table.
    [[nodiscard]] digest_message make_digest() const;

private:
    struct pending_delta
    {
        instance_id id;
        std::uint32_t sends_left = 0;
    };

    bool merge(time_point now, const member_record& record);
    void repeat_join(time_point now);
    void send_gossip();
    void send_digest();
    /// An entry that left, to find out whether it was only cut off.
    instance_id random_departed_entry();
    void judge_silence(time_point now);
    /// True if this node is to judge the instance; remembered until the set
    /// of entries changes.
    bool has_duty(instance_id watched, observation& seen) const;
    void judge(time_point now, const member_record& record);
    void change_state(
        time_point now, const member_record& record, member_state state);
    void forget_departed(time_point now);
    void
    answer_heartbeat(const message_header& header, const heartbeat& message);
    std::vector<instance_id> random_peers(std::size_t count);

    internal_output& output;
    event_sink& events;
    instance_id self;
    std::mt19937_64 random;
    member_table members;
    usable_filter usable;
    self_handler on_self;
    std::deque<pending_delta> deltas;
    std::unordered_map<instance_id, observation> observations;
    std::unordered_map<instance_id, time_point> departed;
    std::vector<instance_id> seeds;
    time_point join_started;
    time_point next_join;
    bool synchronized = false;
    time_point next_gossip;
    time_point next_digest;
    time_point next_judgement;
};

} // namespace masticslip::detail
