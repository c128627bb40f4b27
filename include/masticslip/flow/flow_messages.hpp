#pragma once
/// Control messages between entries and companions on the layer-4 path.
///
/// Entries and companions exchange entry_hello and companion_report
/// periodically; both carry the mark of the sender's policy, so that the side
/// with the older policy can fetch the newer one. The codec is
/// `masticslip/wire/flow_message_codec.hpp`.

#include "masticslip/core/result_code.hpp"
#include "masticslip/flow/flow_packet.hpp"
#include "masticslip/flow/policy_mark.hpp"
#include "masticslip/flow/request_outcomes.hpp"

#include <chrono>
#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace masticslip
{

/// Load and remaining capacity of an upstream, as its companion knows them.
struct upstream_load
{
    /// Requests that await an answer.
    std::uint32_t in_flight = 0;
    /// Flows that are open.
    std::uint32_t open_flows = 0;
    /// Requests that the upstream can process concurrently (its slots).
    std::uint32_t concurrency = 1;
    /// Why new flows are refused; `done` if they are accepted.
    result_code refusal = result_code::not_run_no_upstream;
    /// True while the upstream warms up and accepts few new flows.
    bool is_cold = false;
    /// New flows that a cold upstream can accept now.
    std::uint32_t cold_capacity = 0;
    /// Median time of a request at work; zero: not measured.
    std::chrono::microseconds request_time{};
    /// Number of requests from which `request_time` was measured.
    std::uint32_t request_samples = 0;
    /// Requests that were answered in the last second.
    std::uint32_t finished_per_second = 0;
    /// The upstream has lately ended flows without an answer: it receives new
    /// flows only if no other upstream accepts them.
    bool on_probation = false;
    /// How recent requests ended.
    outcome_counts outcomes;
    /// Requests in flight at which new flows are refused; zero: not known.
    std::uint32_t in_flight_limit = 0;

    bool operator==(const upstream_load&) const = default;
};

/// Order of the reports of one companion address. It rises with each report and
/// with each restart of the process, so that a late report can be ignored.
struct report_order
{
    /// Start time of the process in microseconds since the Unix epoch, or above
    /// that of the former process if the clock was set back.
    std::uint64_t process = 0;
    /// Number of the report in its process.
    std::uint64_t number = 0;

    auto operator<=>(const report_order&) const = default;
};

/// Entry to companion: heartbeat with the mark of the entry's policy.
struct entry_hello
{
    policy_mark policy;
    /// False if the store does not list the companion.
    bool is_listed = true;
    /// Number of companions of the receiver's service; zero: the entry does not
    /// know all of them.
    std::uint32_t service_size = 0;
    /// service_count::digest of these companions.
    std::uint64_t service_digest = 0;
    /// The newest order that the entry has accepted from the receiver's
    /// address; zero: none.
    report_order newest_report{};
    /// Age of the sender's evidence that no policy newer than `policy` exists
    /// (policy_evidence.hpp).
    duration policy_evidence_age = duration::max();
};

/// Maximum number of addresses in companion_report::former_targets, which keeps
/// a report below the size of a datagram.
inline constexpr std::size_t max_former_targets = 32;

/// Largest companion_report::entry_rank.
inline constexpr std::uint32_t max_check_rank = 2;

/// Companion to entry: identity, load and policy.
struct companion_report
{
    std::string name;
    std::string service;
    std::string failure_domain;
    /// Address that receives callers' packets for the upstream.
    endpoint packet_address;
    upstream_load load;
    policy_mark policy;
    /// Number of entries that recently sent a hello to the companion.
    std::uint32_t entry_count = 0;
    /// The companion is about to stop; its upstream stays if it restarts.
    bool is_stopping = false;
    /// The upstream has departed permanently.
    bool has_left = false;
    /// Largest number of companions of its service that an entry has recently
    /// stated; zero: none has.
    std::uint32_t service_size = 0;
    /// The digest that was stated with it.
    std::uint64_t service_digest = 0;
    /// The companion's registration was not lost recently. The store may have
    /// lost others together with it.
    bool is_registration_continuous = false;
    report_order order{};
    /// Addresses of routes that name another service now and of which the
    /// upstream still holds open flows, at most `max_former_targets`.
    std::vector<endpoint> former_targets;
    /// There may be flows of other routes: the companion has not observed its
    /// upstream for long enough, or they are too many to list.
    bool may_hold_other_flows = false;
    /// As in entry_hello.
    duration policy_evidence_age = duration::max();
    /// Number of entries known to the companion that check for newer policies
    /// before the receiver, at most `max_check_rank`.
    std::uint32_t entry_rank = 0;
};

/// The upstream has accepted a flow.
struct flow_opened
{
    flow_endpoints flow;
    /// First sequence number of the upstream, which the caller acknowledges.
    std::uint32_t upstream_sequence = 0;
    upstream_load load;
};

/// An opening packet was refused.
struct flow_refused
{
    flow_endpoints flow;
    result_code reason = result_code::not_run_overloaded;
    upstream_load load;
};

/// Asks whether the receiver's upstream holds a flow.
struct owner_query
{
    flow_endpoints flow;
    /// The caller's last acknowledgement; distinguishes two upstreams that both
    /// received the opening packet.
    std::uint32_t acknowledged = 0;
};

/// Whether a companion's upstream holds a flow.
enum class ownership : std::uint8_t
{
    absent,    ///< The upstream does not hold the flow.
    uncertain, ///< The companion did not observe the upstream from its start.
    owned
};

/// Answer to owner_query.
struct owner_answer
{
    flow_endpoints flow;
    ownership answer = ownership::absent;
    /// Owner according to an entry's hint; zero: not known.
    instance_id owner{};
    /// Repeats owner_query::acknowledged. Zero in an answer that was not asked
    /// for.
    std::uint32_t acknowledged = 0;
};

/// Entry to the highest-ranked companions of a flow: its owner, so that an
/// entry which does not know the flow need not query all companions.
struct owner_hint
{
    flow_endpoints flow;
    instance_id owner;
};

/// A caller's packet of a flow that the companion's upstream does not hold.
struct packet_returned
{
    bytes packet;
};

/// Every control message of the layer-4 path.
using flow_message = std::variant<
    entry_hello,
    companion_report,
    flow_opened,
    flow_refused,
    owner_query,
    owner_answer,
    packet_returned,
    owner_hint>;

} // namespace masticslip
