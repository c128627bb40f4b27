#pragma once
/// Decisions of an entry on the layer-4 path.
///
/// An entry places the opening packet of a flow at a companion, remembers
/// where, and sends the flow's later packets there. What it remembers is a
/// guess until the companion confirms it; on a miss it asks the companions of
/// the service who holds the flow. Companions answer callers directly, so an
/// entry carries one direction only.
///
///     entry_flow_core core(settings, output, events);
///     core.on_policy(now, policy);
///     core.on_listed(now, record);
///     core.on_caller_packet(now, packet);
///
/// Caveat: companions are ranked by rendezvous hash over the flow. Flows are
/// placed among the first of a large service, and look-ups ask a bounded number
/// of them; a flow beyond these is not found, and never reset.

#include "masticslip/flow/companion_directory.hpp"
#include "masticslip/flow/flow_event.hpp"
#include "masticslip/flow/flow_placement.hpp"
#include "masticslip/flow/peer_contact.hpp"
#include "masticslip/flow/policy.hpp"
#include "masticslip/flow/waiting_order.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace masticslip
{

/// Effects of the core. Called on the thread that drives it.
class entry_flow_output
{
public:
    virtual ~entry_flow_output() = default;

    /// Passes a caller's packet to a companion unchanged.
    virtual void send_packet(const endpoint& companion, byte_view packet) = 0;
    /// Ends a flow at the caller; `sequence` is the caller's acknowledgement.
    virtual void
    reset_caller(const flow_ends& flow, std::uint32_t sequence) = 0;
    virtual void send(instance_id to, const flow_message& message) = 0;
    /// Asks a companion for its policy.
    virtual void fetch_policy(instance_id from) = 0;
};

/// Who the entry is.
struct entry_flow_settings
{
    std::string failure_domain;
    /// Most flows that are remembered. Beyond, closing flows and those older
    /// than `flow_age_limit` are forgotten: they can be looked up.
    std::size_t max_flows = 200'000;
    std::chrono::seconds flow_age_limit{60};
    /// A name of placement_rule_names().
    std::string placement{default_placement};
    /// Share of a route's time limit that an opening may wait for room, so
    /// that an answer still comes in time or the caller can turn to something
    /// else. Zero: rejected at once.
    double wait_share = 0.4;
};

/// Not thread-safe; times must not decrease.
class entry_flow_core
{
public:
    /// Output and events must outlive the core.
    /// Precondition: the settings name a known placement rule.
    entry_flow_core(
        entry_flow_settings settings,
        entry_flow_output& output,
        flow_event_sink& events);

    /// Applies a policy if it is newer than the one in force.
    void on_policy(time_point now, std::shared_ptr<const policy> value);

    /// The store lists a companion.
    void on_listed(time_point now, const companion_record& record);

    /// The store lists a companion no longer.
    void on_unlisted(time_point now, instance_id id);

    /// A packet from a caller.
    void on_caller_packet(time_point now, const flow_packet& packet);

    void
    on_message(time_point now, instance_id sender, const flow_message& message);

    /// A packet that a companion returned, decoded again.
    void on_returned_packet(
        time_point now, instance_id sender, const flow_packet& packet);

    /// Call at least every `tick_interval`, and at next_deadline().
    void on_tick(time_point now);

    /// Time at which on_tick may have to decide something, if any.
    [[nodiscard]] std::optional<time_point> next_deadline() const
    {
        return this->earliest_deadline;
    }

    /// True if the policy is known, companions answer, and each service that
    /// somebody may serve has a companion in reach.
    [[nodiscard]] bool is_ready(time_point now) const;

    [[nodiscard]] const policy& current_policy() const
    {
        return *this->policy_in_force;
    }

    [[nodiscard]] std::shared_ptr<const policy> shared_policy() const
    {
        return this->policy_in_force;
    }

    [[nodiscard]] companion_directory& companions()
    {
        return this->directory;
    }

    /// Entries that companions hear, this one among them; zero: not known.
    [[nodiscard]] std::uint32_t entry_count() const
    {
        return this->known_entries;
    }

    [[nodiscard]] std::size_t flow_count() const
    {
        return this->flows.size();
    }

    /// Longest pause between calls of on_tick.
    static constexpr std::chrono::milliseconds tick_interval{250};

private:
    /// A packet that a companion does not want is back within this time:
    /// several round trips between failure domains.
    static constexpr std::chrono::milliseconds return_time{100};

    struct flow_record
    {
        instance_id companion;
        /// True once a companion has confirmed that its upstream has the flow.
        bool confirmed = false;
        /// The companion asks its upstream whether it holds the flow.
        bool is_probe = false;
        /// The first companions by rank were told the owner.
        bool is_hinted = false;
        bool closing = false;
        /// The companion said that its upstream holds the flow.
        bool is_owned = false;
        time_point known_since;
        time_point last_packet;
        /// First packet after the opening that was passed on.
        time_point used_since;

        /// True if the companion took packets of the flow and did not return
        /// them: the caller has opened the flow there.
        [[nodiscard]] bool is_proven(time_point now) const
        {
            return this->is_owned || (this->used_since != time_point{} &&
                                      now - this->used_since >= return_time);
        }
    };

    /// An opening packet that no companion has confirmed yet.
    struct opening
    {
        bytes packet;
        std::uint32_t acknowledged = 0;
        time_point first_seen;
        time_point deadline;
        std::vector<instance_id> tried;
        /// Companions tried that have not answered.
        std::uint32_t unanswered = 0;
        /// No companion has room: tried again until the wait ends.
        bool is_waiting = false;
        result_code last_refusal = result_code::not_run_no_upstream;
    };

    /// A search for the owner of a flow.
    struct look_up
    {
        service_id service;
        std::vector<bytes> packets;
        std::uint32_t acknowledged = 0;
        bool has_payload = false;
        time_point started;
        time_point deadline;
        std::vector<instance_id> pending;
        std::vector<instance_id> uncertain;
        std::vector<instance_id> absent;
        /// Times that companions were asked, and whether these were all.
        std::size_t waves = 0;
        bool is_complete = false;
    };

    template <class Value>
    using flow_table =
        boost::unordered_flat_map<flow_ends, Value, std::hash<flow_ends>>;

    void on_opening(time_point now, const flow_packet& packet);
    void place(time_point now, const flow_ends& flow, opening& item);
    void reject(time_point now, const flow_ends& flow, opening& item);
    /// Places waiting openings in their order, as far as there is room.
    void place_waiting(time_point now);
    [[nodiscard]] std::vector<waiting_opening> waiting_openings() const;
    void set_waiting(opening& item, bool value);
    void erase_opening(const flow_ends& flow);
    [[nodiscard]] duration full_view_limit() const;
    /// Lets waiting openings be placed soon if a companion has room.
    void note_room(time_point now, const upstream_load& load);
    void arm(time_point deadline);
    std::vector<instance_id> ranked_companions(
        service_id service, const flow_ends& flow, std::size_t count) const;
    std::vector<placement_candidate>
    candidates_for(time_point now, const flow_ends& flow, const opening& item);
    [[nodiscard]] bool
    is_lost(time_point now, const directory_member& member) const;
    [[nodiscard]] duration greeting_interval() const;
    /// True if no companion answers.
    [[nodiscard]] bool is_cut_off(time_point now) const;
    /// True if no service has all its usable companions out of reach.
    [[nodiscard]] bool reaches_all_services() const;
    /// Tells when contact with the companions is lost and found.
    void watch_contact(time_point now);
    /// Compares a companion's policy with the one in force.
    void on_peer_policy(
        instance_id peer, std::uint64_t revision, std::uint64_t digest);
    [[nodiscard]] bool may_repeat(const flow_ends& flow) const;
    [[nodiscard]] bool has_waited_enough(
        time_point now, const flow_ends& flow, const opening& item) const;
    [[nodiscard]] bool
    may_wait(time_point now, const flow_ends& flow, const opening& item) const;
    void forward(time_point now, flow_record& flow, const flow_packet& packet);
    void start_look_up(
        time_point now,
        const flow_packet& packet,
        std::optional<instance_id> except);
    /// Asks the next companions by rank.
    void ask_owners(time_point now, const flow_ends& flow, look_up& item);
    void finish_look_up(time_point now, const flow_ends& flow);
    void settle_owner(
        time_point now, const flow_ends& flow, instance_id owner, bool sure);
    void
    on_opened(time_point now, instance_id sender, const flow_opened& message);
    void
    on_refused(time_point now, instance_id sender, const flow_refused& message);
    void
    on_answer(time_point now, instance_id sender, const owner_answer& message);
    void on_report(
        time_point now, instance_id sender, const companion_report& message);
    void greet(time_point now, directory_member& member);
    void greet_all(time_point now);
    /// Greets those whose turn it is, and notes who stays silent.
    void greet_due(time_point now);
    void expire_openings(time_point now);
    void expire_look_ups(time_point now);
    void forget_flows(time_point now);
    void hint_owner(const flow_ends& flow, flow_record& record);
    void forget_members(time_point now);
    void emit(
        time_point now,
        flow_event_kind kind,
        const flow_ends& flow,
        instance_id peer,
        result_code code,
        std::uint32_t candidates = 0,
        std::uint32_t attempts = 0,
        duration elapsed = {});

    entry_flow_settings settings;
    entry_flow_output& output;
    flow_event_sink& events;
    const placement_rule* placement;
    std::shared_ptr<const policy> policy_in_force;
    companion_directory directory;
    flow_table<flow_record> flows;
    flow_table<opening> openings;
    flow_table<look_up> look_ups;
    std::size_t waiting_count = 0;
    /// No opening or look-up is due before this.
    std::optional<time_point> earliest_deadline;
    time_point next_sweep;
    peer_contact contact;
    bool was_cut_off = false;
    std::uint32_t known_entries = 0;
    bool heard_companion = false;
};

} // namespace masticslip
