#pragma once
/// Decision logic of an entry on the layer-4 path.
///
/// An entry sends the opening packet of a flow to a companion, caches this
/// choice and sends the flow's later packets there. The cached choice is
/// tentative until the companion confirms it; on a cache miss the entry asks
/// the companions of the service which of them holds the flow. Companions
/// answer callers directly, so an entry forwards in one direction only.
///
///     entry_flow_core core(settings, output, events);
///     core.on_policy(now, policy);
///     core.on_listed(now, record);
///     core.on_caller_packet(now, packet);
///
/// Caveat: companions are ranked by rendezvous hash of the flow. In a large
/// service flows are placed among the highest-ranked companions, and lookups
/// query a bounded number of them; a flow beyond these is not found, and never
/// reset.

#include "masticslip/core/detail/freeze_detector.hpp"
#include "masticslip/flow/companion_directory.hpp"
#include "masticslip/flow/detail/owner_lookup.hpp"
#include "masticslip/flow/entry_flow_output.hpp"
#include "masticslip/flow/entry_flow_settings.hpp"
#include "masticslip/flow/flow_event.hpp"
#include "masticslip/flow/flow_loss.hpp"
#include "masticslip/flow/flow_placement.hpp"
#include "masticslip/flow/former_services.hpp"
#include "masticslip/flow/opening_share.hpp"
#include "masticslip/flow/outlier_watch.hpp"
#include "masticslip/flow/peer_contact.hpp"
#include "masticslip/flow/policy_evidence.hpp"
#include "masticslip/flow/policy_succession.hpp"
#include "masticslip/flow/wait_estimate.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace masticslip
{

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

    /// Offers a policy; what is newer in it is applied (policy_succession.hpp).
    /// `source` is the peer that it came from; zero: the store.
    void on_policy(
        time_point now,
        const std::shared_ptr<const policy>& value,
        instance_id source = {});

    /// At `time` the store held nothing newer than the policy that was offered
    /// last from there.
    void on_policy_confirmed(time_point now, time_point time);

    /// True if the store has to be asked whether it holds a newer policy.
    [[nodiscard]] bool is_policy_check_due(time_point now) const
    {
        return this->evidence.is_check_due(now);
    }

    [[nodiscard]] policy_status status_of_policy(time_point now) const;

    /// The store lists a companion.
    void on_listed(time_point now, const companion_record& record);

    /// The store no longer lists a companion.
    void on_unlisted(time_point now, instance_id id);

    /// The store's list was read whole. Call after on_listed and on_unlisted
    /// for its contents.
    void on_list_read(time_point now);

    /// A caller sent a packet.
    void on_caller_packet(time_point now, const flow_packet& packet);

    void
    on_message(time_point now, instance_id sender, const flow_message& message);

    /// A companion returned a packet; `packet` is its decoded form.
    void on_returned_packet(
        time_point now, instance_id sender, const flow_packet& packet);

    /// Call at least every `tick_interval`, and at next_deadline().
    void on_tick(time_point now);

    /// Time of the next timeout that on_tick has to handle, if any.
    [[nodiscard]] std::optional<time_point> next_deadline() const
    {
        return this->earliest_deadline;
    }

    /// True if the policy is known, companions answer, and every service with
    /// usable companions has at least one that is reachable.
    [[nodiscard]] bool is_ready(time_point now) const;

    [[nodiscard]] const policy& current_policy() const
    {
        return *this->policies.current();
    }

    [[nodiscard]] std::shared_ptr<const policy> shared_policy() const
    {
        return this->policies.current();
    }

    [[nodiscard]] companion_directory& companions()
    {
        return this->directory;
    }

    [[nodiscard]] std::size_t flow_count() const
    {
        return this->flows.size();
    }

    /// Longest interval between calls of on_tick.
    static constexpr std::chrono::milliseconds tick_interval{250};

private:
    struct flow_record
    {
        instance_id companion;
        /// The owner is known, from flow_opened, an owner_answer or a hint.
        bool confirmed = false;
        /// The owner itself said so, with flow_opened or owner_answer. A hint
        /// is no evidence: it may be about a former flow of the port.
        bool is_evident = false;
        /// The companion is probing whether its upstream holds the flow.
        bool is_probe = false;
        /// The highest-ranked companions were sent a hint with the owner.
        bool hint_sent = false;
        bool closing = false;
        /// Newest number of the owner's upstream that is known: the first one,
        /// then those that the caller acknowledges within the window of it.
        std::uint32_t acknowledged = 0;
        time_point known_since;
        time_point last_packet;
    };

    /// An opening packet that no companion has answered with flow_opened.
    struct opening
    {
        bytes packet;
        /// Number of copies that the caller sent before this one.
        std::uint32_t copy_number = 0;
        /// Rises with each opening that arrives.
        std::uint64_t arrival = 0;
        /// Service with whose openings it waits.
        service_id service;
        time_point first_seen;
        time_point deadline;
        std::vector<instance_id> tried;
        /// Companions tried that have not answered.
        std::uint32_t unanswered_attempts = 0;
        /// No companion has capacity: retried until the wait limit is reached.
        bool is_waiting = false;
        /// Its route's meter has counted its arrival, and its last placement.
        bool has_arrived = false;
        bool has_place = false;
        result_code last_refusal = result_code::not_run_no_upstream;

        /// False if a companion that has not answered may have opened the flow,
        /// or if this may be a copy for a flow that another entry placed.
        [[nodiscard]] bool was_never_opened() const
        {
            return this->unanswered_attempts == 0 && this->copy_number == 0;
        }
    };

    /// Openings of one service that wait. Exists only while there are any.
    struct waiting_service
    {
        std::size_t count = 0;
        service_rate rate;
        /// Time of the estimate; zero if there is none.
        time_point rate_estimated_at;
        opening_share share;
        /// Of the routes with waiting openings.
        std::map<endpoint, pace_meter> meters;
        /// Why the first of them found no place at the last attempt.
        result_code refusal = result_code::not_run_no_upstream;
    };

    using owner_lookup = detail::owner_lookup;
    using owner_source = detail::owner_source;

    template <class Value>
    using flow_table = boost::
        unordered_flat_map<flow_endpoints, Value, std::hash<flow_endpoints>>;

    /// True while a companion has reported a newer policy that was not fetched.
    /// It may have routes that the policy in force lacks.
    [[nodiscard]] bool knows_newer_policy() const;
    void compare_policy(
        time_point now, instance_id sender, const companion_report& message);
    void on_packet_without_route(time_point now, const flow_packet& packet);
    void on_opening(time_point now, const flow_packet& packet);
    void place(time_point now, const flow_endpoints& flow, opening& item);
    void reject(
        time_point now,
        const flow_endpoints& flow,
        opening& item,
        std::string_view detail = {});
    /// Places waiting openings while there is capacity, and refuses those whose
    /// callers do not wait that long.
    void place_waiting(time_point now);
    /// Counts arrivals and openings that were refused by companions.
    void count_waiting(
        time_point now,
        service_id service,
        const std::vector<waiting_opening>& openings);
    /// Places the openings of one service in this order.
    void place_in_order(
        time_point now,
        service_id service,
        const std::vector<waiting_opening>& order);
    void
    count_place(time_point now, service_id service, const flow_endpoints& flow);
    void refuse_long_waits(
        time_point now,
        service_id service,
        const std::vector<waiting_opening>& order);
    /// The estimate for a service with waiting openings. It is renewed once per
    /// retry interval, since it reads the loads of all its companions.
    [[nodiscard]] service_rate current_rate(time_point now, service_id service);
    [[nodiscard]] service_pace current_pace(time_point now, service_id service);
    [[nodiscard]] std::map<service_id, std::vector<waiting_opening>>
    waiting_openings();
    /// Service of the flow's route; zero if there is no route.
    [[nodiscard]] service_id service_of(const flow_endpoints& flow) const;
    /// Time limit of the flow's route, or the default.
    [[nodiscard]] std::chrono::milliseconds
    time_limit_of(const flow_endpoints& flow) const;
    [[nodiscard]] queued_opening queued_opening_of(
        time_point now,
        const waiting_opening& waiting,
        const opening& item,
        duration request_time) const;
    [[nodiscard]] remaining_wait remaining_wait_of(
        time_point now, const flow_endpoints& flow, const opening& item) const;
    /// A companion sent its load: logs which upstreams are outliers now.
    void report_outliers(time_point now, instance_id sender);
    void set_waiting(opening& item, bool value);
    void erase_opening(const flow_endpoints& flow);
    [[nodiscard]] duration full_load_validity() const;
    /// Arms the timer for waiting openings if a companion has capacity.
    void retry_waiting_openings(time_point now, const upstream_load& load);
    void arm_timer(time_point deadline);
    std::vector<instance_id> ranked_companions(
        service_id service,
        const flow_endpoints& flow,
        std::size_t count) const;
    [[nodiscard]] static std::vector<instance_id> highest_ranked(
        const std::vector<instance_id>& ids,
        const flow_endpoints& flow,
        std::size_t count);
    std::vector<placement_candidate> candidates_for(
        time_point now, const flow_endpoints& flow, const opening& item);
    /// True if the companion has sent no load or left requests unanswered for
    /// so long that no opening waits for it. This is no evidence that its
    /// upstream has lost its flows.
    [[nodiscard]] bool
    is_lost(time_point now, const directory_member& member) const;
    /// True if the companion has neither been listed by the store nor heard for
    /// a while.
    [[nodiscard]] static bool
    is_out_of_contact(time_point now, const directory_member& member);
    /// False if the companion has left or is out of contact.
    [[nodiscard]] static bool
    counts_as_present(time_point now, const directory_member& member);
    [[nodiscard]] duration hello_interval() const;
    /// True if no companion answers.
    [[nodiscard]] bool is_isolated(time_point now) const;
    /// False if some service has usable companions but none is reachable.
    [[nodiscard]] bool reaches_all_services() const;
    /// Emits an event when contact with all companions is lost or restored.
    void report_contact_change(time_point now);
    void on_policy_changed(time_point now);
    /// Emits an event when the evidence becomes stale or fresh again.
    void report_evidence(time_point now);
    /// Call first with each event.
    void observe(time_point now);
    /// True just after a freeze, while messages from before its end are read.
    [[nodiscard]] bool reads_backlog(time_point now) const;
    [[nodiscard]] bool is_retry_safe(const flow_endpoints& flow) const;
    [[nodiscard]] bool has_reached_wait_limit(
        time_point now, const flow_endpoints& flow, const opening& item) const;
    [[nodiscard]] bool may_wait(
        time_point now, const flow_endpoints& flow, const opening& item) const;
    void forward(time_point now, flow_record& flow, const flow_packet& packet);
    /// Looks up a known flow whose companion has ended or is no longer known.
    void look_up_again(time_point now, const flow_packet& packet);
    void start_lookup(
        time_point now,
        const flow_packet& packet,
        std::optional<instance_id> except,
        owner_state owner = owner_state::unknown);
    /// Number of present companions that were not queried. They may have become
    /// known during the lookup.
    [[nodiscard]] std::size_t count_unqueried(
        time_point now,
        const flow_endpoints& flow,
        const owner_lookup& item) const;
    [[nodiscard]] loss_evidence evidence_of(
        time_point now,
        const flow_endpoints& flow,
        const owner_lookup& item) const;
    /// True if a companion of another service may hold flows of the route from
    /// before this entry knew it, and cannot tell.
    [[nodiscard]] bool is_unclear_holder(
        time_point now,
        const directory_member& member,
        const owner_lookup& item) const;
    /// Number of them, while there can be such flows.
    [[nodiscard]] std::size_t
    count_unclear_holders(time_point now, const owner_lookup& item) const;
    /// Those that a lookup queries, besides the companions of services_of().
    [[nodiscard]] std::vector<instance_id> unclear_holders(
        time_point now,
        const flow_endpoints& flow,
        const owner_lookup& item) const;
    /// Services that the route named before, as far as this entry or companions
    /// that hold such flows know.
    [[nodiscard]] std::set<service_id>
    former_services_of(const endpoint& target) const;
    /// Services whose companions are queried.
    [[nodiscard]] std::vector<service_id>
    services_of(const flow_endpoints& flow, const owner_lookup& item) const;
    /// Queries the next companions by rank.
    void query_companions(
        time_point now, const flow_endpoints& flow, owner_lookup& item);
    /// Adds the unqueried ones of the `width` highest-ranked companions.
    void add_pending(
        time_point now,
        const std::vector<instance_id>& ids,
        const flow_endpoints& flow,
        std::size_t width,
        owner_lookup& item) const;
    /// Ends the present round and starts the next one. Returns false if there
    /// is nobody left to query.
    [[nodiscard]] bool query_next_companions(
        time_point now, const flow_endpoints& flow, owner_lookup& item);
    /// Queries companions of other services that may hold the flow, once those
    /// of the route's service have been queried. Returns true if there are any.
    [[nodiscard]] bool query_other_services(
        time_point now, const flow_endpoints& flow, owner_lookup& item);
    /// The companion that gets the next trial packet: one that cannot tell
    /// whether its upstream holds the flow.
    [[nodiscard]] std::optional<instance_id>
    next_trial(const flow_endpoints& flow, const owner_lookup& item) const;
    /// Takes up the lookup that ended with a trial of a companion a moment ago.
    [[nodiscard]] owner_lookup resume_lookup(
        time_point now, const flow_endpoints& flow, std::uint32_t acknowledged);
    void
    keep_trial(time_point now, const flow_endpoints& flow, owner_lookup item);
    void expire_trials(time_point now);
    /// The companions that were queried and what they have answered, for logs.
    [[nodiscard]] static std::string describe_answers(const owner_lookup& item);
    void finish_lookup(time_point now, const flow_endpoints& flow);
    /// What a lookup has found, for logs.
    [[nodiscard]] std::string describe_lookup(
        time_point now,
        const flow_endpoints& flow,
        const owner_lookup& item,
        loss_verdict verdict) const;
    void assign_owner(
        time_point now,
        const flow_endpoints& flow,
        instance_id owner,
        owner_source source);
    void
    on_opened(time_point now, instance_id sender, const flow_opened& message);
    /// Call after on_opened(). The first sequence number tells the flow from
    /// others that the caller opens with copies of the opening or later from
    /// the same port.
    void record_sequence(instance_id sender, const flow_opened& message);
    void
    on_refused(time_point now, instance_id sender, const flow_refused& message);
    void
    on_answer(time_point now, instance_id sender, const owner_answer& message);
    /// A companion says that its upstream holds a flow. That counts without a
    /// lookup if the flow's packets go there.
    void confirm_owner(instance_id sender, const owner_answer& message);
    void on_report(
        time_point now, instance_id sender, const companion_report& message);
    void send_hello(time_point now, directory_member& member);
    /// Greets a companion that only others know; its report makes it known.
    void send_first_hello(time_point now, instance_id id);
    void send_hello_to_all(time_point now);
    /// Sends hellos that are due and marks companions that do not answer.
    void send_due_hellos(time_point now);
    /// Load pattern: the entry's own link or processor is busy, so that the
    /// answers of most companions are late, and arrive one after the other.
    /// No companion counts as lost then, nor until the others' answers would
    /// have come.
    void check_own_link(time_point now);
    /// True once all companions must have registered since the entry has read
    /// the store's list.
    [[nodiscard]] bool is_settled(time_point now) const;
    /// Call before a new or returned companion is sent a hello: the number that
    /// it is told must count it.
    void update_stated_counts(time_point now);
    /// True if the list has shown all companions of the service at some time
    /// since all must have registered. Later ones become known one by one. A
    /// companion that reports and is not listed shows that the store did not
    /// accept registrations, so that the list may lack others, too.
    [[nodiscard]] bool is_list_whole(time_point now, service_id service) const;
    /// Companions of a service for hellos; none if not all are known.
    [[nodiscard]] service_count stated_count(service_id service) const;
    /// True if each number that companions of the service report counts only
    /// companions that the entry knows, or that departed a moment ago.
    [[nodiscard]] bool
    explains_reported_counts(time_point now, service_id service) const;
    /// True if all companions of the service that the entry knows have
    /// reported, and there can be no others: it knows as many as entries state,
    /// or the list is whole. Otherwise a companion that the entry does not know
    /// may hold a flow that all others do not hold.
    /// Precondition: the store's list was read.
    [[nodiscard]] bool
    knows_all_companions(time_point now, service_id service) const;
    void expire_openings(time_point now);
    void expire_lookups(time_point now);
    void expire_flows(time_point now);
    void send_owner_hint(const flow_endpoints& flow, flow_record& record);
    void remove_stale_members(time_point now);
    void emit(
        time_point now,
        flow_event_kind kind,
        const flow_endpoints& flow,
        instance_id peer,
        result_code code,
        std::uint32_t candidates = 0,
        std::uint32_t attempts = 0,
        duration elapsed = {},
        std::string_view detail = {});

    entry_flow_settings settings;
    entry_flow_output& output;
    flow_event_sink& events;
    const placement_rule* placement;
    policy_succession policies;
    policy_evidence evidence;
    detail::freeze_detector freeze;
    /// End of the last freeze.
    std::optional<time_point> resumed_at;
    /// The reported mark with the highest position that was newer than the
    /// policy in force.
    std::optional<policy_mark> newest_reported_policy;
    time_point first_policy_at;
    /// When the version in force last changed. Another version may have been in
    /// force in between, without this entry.
    time_point last_version_at;
    store_position first_policy_position;
    former_services former;
    companion_directory directory;
    outlier_watch outliers{this->directory};
    flow_table<flow_record> flows;
    flow_table<opening> openings;
    flow_table<owner_lookup> lookups;
    /// Lookups that have ended with a trial. Bounded like `lookups`.
    flow_table<owner_lookup> trials;
    std::uint64_t arrival_count = 0;
    std::map<service_id, waiting_service> waiting_services;
    /// No opening or lookup is due before this.
    std::optional<time_point> earliest_deadline;
    time_point next_sweep;
    peer_contact contact;
    bool was_isolated = false;
    /// Until then late answers are put down to the entry's own link.
    time_point link_suspect_until;
    std::uint32_t reported_entry_count = 0;
    bool has_received_report = false;
    /// Time at which the store's list was first read.
    std::optional<time_point> list_read_at;
    /// Services of which the list has shown all companions.
    std::set<service_id> services_listed_whole;
    /// Companions that hellos state, by service.
    std::map<service_id, service_count> stated_counts;
};

} // namespace masticslip
