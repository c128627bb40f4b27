#pragma once
/// Membership protocol of an entry: failure detection, gossip of changes and
/// anti-entropy by digests.
///
/// Method: SWIM (Das, Gupta and Motivala, DSN 2002): incarnation numbers and
/// suspicion before removal. Unlike in SWIM, each instance is watched by a few
/// entries chosen by rendezvous hashing, so the cost per companion is constant.

#include "masticslip/core/event_sink.hpp"
#include "masticslip/core/internal_output.hpp"
#include "masticslip/core/member_table.hpp"

#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

namespace masticslip::detail
{

/// What this node has observed of one instance.
struct observation
{
    time_point last_heard;
    time_point suspected;
    /// Configuration generation that the instance has in force.
    generation in_force = 0;
    /// Revision of the set of entries for which `is_watched` was computed.
    std::uint64_t watch_revision = 0;
    /// True if this node is one of the instance's watchers.
    bool is_watched = false;
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

    /// Sends gossip and digests that are due and checks silent instances.
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

    /// Merges this node's own record and disseminates it.
    void announce_self(time_point now, const member_record& self);

    /// Restarts all silence timers. Call after this node was suspended.
    void reset_silence_timers(time_point now);

    /// Sends an empty message to a few peers: its header announces the
    /// configuration generation.
    void notify_peers();

    /// Called with each record of this node that is received by gossip.
    using own_record_handler =
        std::function<void(time_point, const member_record&)>;
    void set_own_record_handler(own_record_handler handler)
    {
        this->on_own_record = std::move(handler);
    }

    /// Sets a filter for the siblings that heartbeat answers list.
    void set_usable_filter(usable_filter filter)
    {
        this->usable = std::move(filter);
    }

    /// Direct observations of other instances, by id.
    [[nodiscard]] const std::unordered_map<instance_id, observation>&
    direct_observations() const
    {
        return this->observations;
    }

    [[nodiscard]] const member_table& table() const
    {
        return this->members;
    }

    /// Requests the records that this node lacks from the seeds.
    /// `is_synchronized` is false until a peer has confirmed that the tables
    /// match.
    void join(time_point now, const std::vector<instance_id>& seeds);

    /// True once a peer has confirmed the table, or the time limit for joining
    /// has passed.
    [[nodiscard]] bool is_synchronized(time_point now) const;

    /// Digest of the whole table.
    [[nodiscard]] digest_message make_digest() const;

private:
    struct pending_update
    {
        instance_id id;
        std::uint32_t sends_left = 0;
    };

    bool merge(time_point now, const member_record& record);
    void repeat_join(time_point now);
    void send_gossip();
    void send_digest();
    /// An entry that left, to detect that it was only partitioned, or an id of
    /// zero.
    instance_id random_departed_entry();
    void check_silent_members(time_point now);
    /// True if this node is a watcher of the instance; cached until the set
    /// of entries changes.
    bool is_responsible_for(instance_id watched, observation& seen) const;
    void update_suspicion(time_point now, const member_record& record);
    void change_state(
        time_point now, const member_record& record, member_state state);
    void expire_departed(time_point now);
    void
    answer_heartbeat(const message_header& header, const heartbeat& message);
    std::vector<instance_id> random_peers(std::size_t count);

    internal_output& output;
    event_sink& events;
    instance_id self;
    std::mt19937_64 random;
    member_table members;
    usable_filter usable;
    own_record_handler on_own_record;
    std::deque<pending_update> updates;
    std::unordered_map<instance_id, observation> observations;
    /// Instances in state `left`, each with the time at which the record of it
    /// was merged.
    std::unordered_map<instance_id, time_point> departed;
    std::vector<instance_id> seeds;
    time_point join_started;
    time_point next_join;
    bool synchronized = false;
    time_point next_gossip;
    time_point next_digest;
    time_point next_failure_check;
};

} // namespace masticslip::detail
