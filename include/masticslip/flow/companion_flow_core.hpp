#pragma once
/// Decision logic of a companion on the layer-4 path.
///
/// All packets to an upstream pass through its companion, which can therefore
/// control admission of new flows without coordination. It admits an opening
/// packet only if the upstream accepts new flows, the newest known policy
/// routes the target address to the upstream's service, the failure domain is
/// not withdrawn and the upstream is within its limits. Packets of open flows
/// are always forwarded.
///
///     companion_flow_core core(settings, output, events);
///     core.on_policy(now, policy);
///     core.on_caller_packet(now, entry, packet);
///
/// Caveat: a companion that has restarted does not know which flows its
/// upstream holds. Until it has observed an incarnation of the upstream from
/// its start, it forwards packets of unknown flows and learns from the
/// upstream's answers.

#include "masticslip/core/detail/freeze_detector.hpp"
#include "masticslip/flow/admission_pace.hpp"
#include "masticslip/flow/capacity_waiters.hpp"
#include "masticslip/flow/cold_start_limit.hpp"
#include "masticslip/flow/flow_event.hpp"
#include "masticslip/flow/opening_backoff.hpp"
#include "masticslip/flow/policy_evidence.hpp"
#include "masticslip/flow/policy_succession.hpp"
#include "masticslip/flow/request_outcomes.hpp"
#include "masticslip/flow/service_count.hpp"
#include "masticslip/flow/service_time.hpp"
#include "masticslip/flow/upstream_monitor.hpp"
#include "masticslip/flow/upstream_stability.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace masticslip
{

/// Output of the core. Called on the thread that drives the core.
class companion_flow_output
{
public:
    virtual ~companion_flow_output() = default;

    /// Forwards a packet to the upstream unchanged.
    virtual void send_to_upstream(byte_view packet) = 0;
    /// Forwards a packet of the upstream to its caller unchanged.
    virtual void send_to_caller(const endpoint& caller, byte_view packet) = 0;
    /// Sends a reset to the caller; `sequence` is the caller's acknowledgement.
    virtual void
    reset_caller(const flow_endpoints& flow, std::uint32_t sequence) = 0;
    virtual void send(instance_id to, const flow_message& message) = 0;
    /// Requests the policy of an entry.
    virtual void fetch_policy(instance_id from) = 0;
    /// An entry reports that the store does not list this companion.
    virtual void on_not_listed() = 0;
    /// Opens a connection to the upstream's address and closes it without
    /// sending anything. The result is passed to on_presence exactly once, not
    /// during this call. Not called again before that.
    virtual void check_presence() = 0;
};

/// Identity and limits of a companion.
struct companion_flow_settings
{
    std::string name;
    std::string service;
    std::string failure_domain;
    endpoint packet_address;
    /// Interval of the upstream's status messages.
    std::chrono::milliseconds status_interval{1'000};
    /// Flows older than this are evicted while the table is at least half full.
    /// Owner hints are discarded at this age.
    std::chrono::seconds flow_age_limit{60};
    /// Maximum number of flows; beyond it new flows are refused.
    std::size_t max_flows = 20'000;
    /// Start time of the process in microseconds since the Unix epoch, which
    /// orders its reports after those of former processes; zero: not known.
    std::uint64_t process_number = 0;
    /// Time within which a change of the policy has to be in force.
    std::chrono::milliseconds policy_time_limit = default_policy_time_limit;
    /// The upstream receives packets at this address, and states it.
    endpoint upstream_address{};
};

/// Not thread-safe; times must not decrease.
class companion_flow_core
{
public:
    /// Output and events must outlive the core.
    companion_flow_core(
        companion_flow_settings settings,
        companion_flow_output& output,
        flow_event_sink& events);

    /// Offers a policy; what is newer in it is applied (policy_succession.hpp).
    /// `source` is the peer that it came from.
    void on_policy(
        time_point now,
        const std::shared_ptr<const policy>& value,
        instance_id source = {});

    [[nodiscard]] policy_status status_of_policy(time_point now) const;

    /// A status arrived. It counts only if it states the service, failure
    /// domain and address of this companion's upstream; others may send here.
    status_outcome on_status(time_point now, const upstream_status& status);

    /// A departure arrived. Returns false if it is not that of the incarnation
    /// whose status was accepted last.
    bool on_departure(time_point now, const upstream_incarnation& incarnation);

    /// Result of the presence check that was requested last.
    void on_presence(time_point now, upstream_presence result);

    /// An entry forwarded a packet of a caller.
    void on_caller_packet(
        time_point now, instance_id entry, const flow_packet& packet);

    /// The upstream sent a packet.
    void on_upstream_packet(time_point now, const flow_packet& packet);

    void
    on_message(time_point now, instance_id sender, const flow_message& message);

    /// Call at least every `tick_interval`.
    void on_tick(time_point now);

    /// States whether the registration in the store was not lost recently.
    void on_registration(bool is_continuous);

    /// Notifies the entries that the process is about to stop, and checks
    /// whether its upstream has ended.
    void on_stop(time_point now);

    [[nodiscard]] upstream_load load(time_point now);

    [[nodiscard]] const policy& current_policy() const
    {
        return *this->policies.current();
    }

    [[nodiscard]] std::shared_ptr<const policy> shared_policy() const
    {
        return this->policies.current();
    }

    [[nodiscard]] const upstream_monitor& upstream() const
    {
        return this->monitor;
    }

    /// True if the upstream has departed or a presence check found it absent.
    [[nodiscard]] bool upstream_is_down() const;

    /// True if the process may exit after on_stop: the presence check has ended
    /// and no request is in flight, or their time limits have passed.
    [[nodiscard]] bool may_exit(time_point now) const;

    [[nodiscard]] std::size_t flow_count() const
    {
        return this->flows.size();
    }

    /// Longest interval between calls of on_tick.
    static constexpr std::chrono::milliseconds tick_interval{250};

private:
    enum class flow_state : std::uint8_t
    {
        probing,   ///< Its packets are forwarded to learn whether the upstream
                   ///< holds it.
        half_open, ///< The opening packet was forwarded.
        open,
        ended,
        absent ///< The upstream has answered that it does not hold it.
    };

    struct unconfirmed_opening
    {
        std::uint32_t sequence = 0;
        instance_id entry;
    };

    struct flow_record
    {
        flow_state state = flow_state::half_open;
        bool accepted = false;
        /// The opening packet passed through this process.
        bool opening_seen = false;
        bool awaits_answer = false;
        /// Counts as in flight before its first request.
        bool is_reserved = false;
        bool caller_closed = false;
        bool upstream_closed = false;
        instance_id entry;
        /// Sequence number of the caller's opening packet.
        std::uint32_t opening_sequence = 0;
        /// First and newest sequence numbers of the upstream.
        std::uint32_t first_sequence = 0;
        std::uint32_t upstream_sequence = 0;
        /// End of the caller's data so far.
        std::uint32_t caller_sequence = 0;
        time_point created;
        time_point last_packet;
        /// When the last new byte of a request was forwarded, and the requests
        /// in progress then.
        time_point request_at;
        std::uint32_t requests_in_progress = 0;
        /// The request in flight has counted as failed.
        bool is_overdue = false;
        /// An opening with another sequence number that was forwarded while
        /// this flow was established.
        std::optional<unconfirmed_opening> next;

        /// True if the flow became known by later packets than its opening.
        [[nodiscard]] bool is_learned() const
        {
            return !this->opening_seen && (this->state == flow_state::open ||
                                           this->state == flow_state::probing);
        }

        /// True if the upstream has accepted the flow and neither side has
        /// closed it, as far as is known.
        [[nodiscard]] bool is_established() const
        {
            return this->opening_seen && this->accepted &&
                   !this->caller_closed && !this->upstream_closed &&
                   (this->state == flow_state::half_open ||
                    this->state == flow_state::open);
        }
    };

    using flow_table = boost::unordered_flat_map<
        flow_endpoints,
        flow_record,
        std::hash<flow_endpoints>>;

    [[nodiscard]] bool is_of_upstream(const upstream_status& status) const;
    void on_policy_changed(time_point now);
    /// Emits an event when the evidence becomes stale or fresh again.
    void report_evidence(time_point now);
    void
    on_opening(time_point now, instance_id entry, const flow_packet& packet);
    /// Forwards an opening for a flow that was learned from later packets: a
    /// late copy, or the opening of a new flow from the same port.
    void forward_unseen_opening(
        time_point now,
        instance_id entry,
        flow_record& flow,
        const flow_packet& packet);
    /// Forwards an opening with another sequence number than that of an
    /// established flow: a late copy for a former flow, or a new flow of a
    /// caller that has lost this one. Only the upstream can tell.
    void forward_unconfirmed_opening(
        time_point now,
        instance_id entry,
        flow_record& flow,
        const flow_packet& packet);
    /// Replaces a flow by a new one between the same endpoints.
    void replace_flow(
        time_point now, flow_record& flow, const unconfirmed_opening& opening);
    result_code admission(time_point now, const flow_packet& packet);
    result_code route_admission(const flow_packet& packet) const;
    void refuse(
        time_point now,
        instance_id entry,
        const flow_packet& packet,
        result_code reason);
    void on_unknown_flow(
        time_point now, instance_id entry, const flow_packet& packet);
    void
    return_packet(time_point now, instance_id entry, const flow_packet& packet);
    void forward_to_upstream(time_point now, const flow_packet& packet);
    static bool acknowledges(const flow_record& flow, std::uint32_t number);
    /// True unless the acknowledgement or, without one, the sequence number
    /// shows that a caller's packet belongs to a former flow between the same
    /// endpoints.
    static bool
    may_belong_to(const flow_record& flow, const flow_packet& packet);
    /// Probes a half-open flow that the upstream may have held before this
    /// process started. Returns false if it holds none that is unknown.
    bool probe_unanswered_opening(time_point now, flow_record& flow);
    void on_caller_data(flow_record& flow, const flow_packet& packet);
    void on_bounced(time_point now, const flow_packet& packet);
    void
    on_accepted(time_point now, flow_record& flow, const flow_packet& packet);
    void on_upstream_data(flow_record& flow, const flow_packet& packet);
    /// Measures a request between its last new byte and its answer. The time is
    /// that of the flow's last packet.
    void on_request(flow_record& flow) const;
    void on_answer(const flow_record& flow, const flow_packet& packet);
    /// The upstream ended a flow, or delays its answer.
    void on_failed_request(time_point now);
    /// True if the packet ends the flow although its caller waits for an
    /// answer.
    [[nodiscard]] static bool
    ends_unanswered(const flow_record& flow, const flow_packet& packet);
    /// Counts requests as failed that wait far longer than their target.
    void count_overdue_requests(time_point now);
    /// Sends reports when requests begin or cease to fail.
    void report_failures(time_point now);
    /// Records the routes of which the upstream still holds flows.
    void update_former_targets();
    void set_awaiting_answer(flow_record& flow, bool value);
    void set_state(flow_record& flow, flow_state state);
    [[nodiscard]] ownership ownership_of(
        time_point now,
        const flow_endpoints& flow,
        std::uint32_t acknowledged) const;
    [[nodiscard]] owner_answer
    answer_of(time_point now, const owner_query& query) const;
    /// True if the upstream may hold flows that this process does not know.
    [[nodiscard]] bool may_hold_unknown_flows(time_point now) const;
    /// True if it may hold a flow of which this process has only seen packets
    /// of the caller.
    [[nodiscard]] bool may_hold_unanswered_flows(time_point now) const;
    /// True if all flows from before the start of this process have been idle
    /// for longer than any of them is kept.
    [[nodiscard]] bool has_outlasted_former_flows(time_point now) const;
    /// The upstream may hold a flow whose packet at this time was not recorded.
    void on_untracked_flow(time_point last_packet);
    /// The idle limit of the policy in force, or the default.
    [[nodiscard]] duration stated_idle_limit() const;
    void store_hint(time_point now, const owner_hint& hint);
    void expire_hints(time_point now);
    void
    on_hello(time_point now, instance_id sender, const entry_hello& message);
    /// The largest of the counts of the service that were stated recently.
    [[nodiscard]] service_count largest_service_count(time_point now) const;
    /// True if the upstream has departed permanently, as far as is known.
    [[nodiscard]] bool has_left(time_point now) const;
    /// Forgets the stated numbers, which do not count this companion.
    void forget_service_counts();
    [[nodiscard]] companion_report report(time_point now);
    /// Continues above the newest order that an entry has accepted from this
    /// address, if the clock was set back since.
    void follow_order(const report_order& newest);
    void send_reports(time_point now);
    void send_report(time_point now, instance_id entry);
    /// Counts silences as losses, and reports changes of the probation.
    void watch_stability(time_point now);
    /// Emits an event if the limit of requests in flight has changed.
    void report_pace(time_point now);
    /// Lowest target latency of the service's routes; zero: none is stated.
    [[nodiscard]] duration fastest_target() const;
    /// Requests in flight at which new flows are refused.
    [[nodiscard]] std::uint32_t
    in_flight_limit(const upstream_load& load) const;
    /// Sends a report to one refused entry for each free slot.
    void notify_waiting_entries(time_point now);
    /// Time without packets after which a flow is removed.
    [[nodiscard]] duration idle_limit_of(const flow_record& flow) const;
    [[nodiscard]] bool is_idle(time_point now, const flow_record& flow) const;
    /// True if the table is crowded and the flow beyond its age limit.
    [[nodiscard]] bool
    is_in_excess(time_point now, const flow_record& flow) const;
    void expire_flows(time_point now);
    void expire_reservations(time_point now);
    void observe(time_point now);
    /// True just after a freeze, while messages from before its end are read.
    [[nodiscard]] bool reads_backlog(time_point now) const;
    /// Requests a presence check unless one is in progress.
    void check_presence(time_point now);
    /// True while the upstream sends no status and its last check was long ago.
    [[nodiscard]] bool needs_presence_check(time_point now) const;
    /// True while a stop waits for the result of a presence check.
    [[nodiscard]] bool awaits_presence(time_point now) const;
    /// True if the upstream's packet belongs to a flow from before the last
    /// absence of the upstream.
    [[nodiscard]] bool contradicts_absence(
        const flow_record& flow, const flow_packet& packet) const;
    void emit(
        time_point now,
        flow_event_kind kind,
        const flow_endpoints& flow,
        instance_id peer,
        result_code code,
        std::string_view detail = {});

    /// A new flow that counts as in flight before its first request.
    struct reservation
    {
        time_point created;
        flow_endpoints flow;
    };

    /// Owner of a flow according to an entry's hint.
    struct stored_hint
    {
        instance_id owner;
        time_point received_at;
    };

    struct known_entry
    {
        time_point last_hello_at;
        time_point last_report_at;
        /// Companions of the service that it stated last, which outlasts a
        /// restart of the entry.
        service_count service;
        time_point service_stated_at;
    };

    companion_flow_settings settings;
    companion_flow_output& output;
    flow_event_sink& events;
    policy_succession policies;
    policy_evidence evidence;
    upstream_monitor monitor;
    upstream_stability stability;
    service_time request_times;
    request_outcomes outcomes;
    admission_pace pace;
    cold_start_limit cold_limit;
    opening_backoff backoff;
    capacity_waiters waiters;
    detail::freeze_detector freeze;
    flow_table flows;
    std::deque<reservation> reservations;
    boost::unordered_flat_map<
        flow_endpoints,
        stored_hint,
        std::hash<flow_endpoints>>
        owner_hints;
    std::map<instance_id, known_entry> entries;
    /// Order of the newest report.
    report_order order;
    std::uint32_t in_flight = 0;
    std::uint32_t open_flows = 0;
    /// Start of the process, or the end of its last freeze.
    time_point observing_since;
    /// End of the last freeze.
    time_point resumed_at;
    /// Until then the upstream may hold open flows that were evicted here.
    time_point evicted_until;
    /// Largest idle limit that was in force since the start.
    duration longest_idle_limit;
    /// Until then the upstream may hold flows that were not recorded here.
    time_point untracked_until;
    time_point next_sweep;
    time_point next_hint_sweep;
    /// When the presence check in progress was requested; nullopt: none is.
    std::optional<time_point> presence_asked_at;
    time_point last_presence_check;
    bool stopping = false;
    time_point stopped_at;
    bool was_withdrawn = false;
    bool was_on_probation = false;
    bool was_failing = false;
    /// Addresses of routes that name another service now and have open flows
    /// here; one more than reports can hold shows that some are missing.
    std::set<endpoint> former_targets;
    bool was_silent = false;
    std::uint32_t reported_losses = 0;
    std::uint32_t reported_limit = 0;
    bool is_registration_continuous = false;
    result_code last_refusal = result_code::not_run_no_upstream;
};

} // namespace masticslip
