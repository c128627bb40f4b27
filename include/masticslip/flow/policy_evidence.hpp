#pragma once
/// How recently the policy in force was known to be the newest one.
///
/// A process that hears of no change cannot tell whether there is none or
/// whether nobody could tell it. Entries record when the store last confirmed
/// that it holds nothing newer, and entries and companions pass the age of this
/// evidence on, so that one answer of the store serves the whole fleet.
///
///     policy_evidence evidence(5s);
///     evidence.confirm(answered_at);
///     if (evidence.is_check_due(now))
///         ask_store();
///
/// Caveat: evidence is about a policy at least as new as the one in force. Do
/// not take over the evidence of a peer whose policy is newer.

#include "masticslip/flow/flow_event.hpp"
#include "masticslip/flow/flow_messages.hpp"
#include "masticslip/flow/policy.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace masticslip
{

/// Time within which a change has to be in force, unless settings say
/// otherwise.
inline constexpr std::chrono::milliseconds default_policy_time_limit{5'000};

/// What a process knows of the policy in force, for metrics and logs.
struct policy_status
{
    /// Time since its contents were applied.
    duration in_force_for{};
    /// Peer from which they came; zero: the store.
    instance_id source{};
    /// See policy_evidence::age().
    duration evidence_age = duration::max();
};

/// The peer's address, or "store".
std::string source_text(const policy_status& status);

/// Version, source and age of the evidence as log fields. Thread-safe.
std::string describe_policy(const policy& value, const policy_status& status);

/// Not thread-safe.
class policy_evidence
{
public:
    /// `time_limit` is the time within which a change has to be in force.
    explicit policy_evidence(std::chrono::milliseconds time_limit);

    /// Sets the position of this process among those that check with the store,
    /// 0 to `max_check_rank`. Each rank checks when the one before it should
    /// have renewed the evidence of all.
    void set_check_rank(std::uint32_t value)
    {
        this->check_rank = std::min(value, max_check_rank);
    }

    /// At this time the store held nothing newer. Older times are ignored.
    void confirm(time_point time);

    /// A peer whose policy is not newer states the age of its evidence. An age
    /// beyond `max_peer_age` is no evidence.
    void confirm_by_peer(time_point now, duration peer_age);

    /// Age of the evidence; the longest duration if there is none.
    [[nodiscard]] duration age(time_point now) const;

    /// Time at which the store has to be asked whether it holds a newer policy,
    /// at most half of the time limit after the evidence. The rest is left for
    /// the answer and for passing it on. Nullopt without evidence: now.
    [[nodiscard]] std::optional<time_point> check_due_at() const;

    [[nodiscard]] bool is_check_due(time_point now) const
    {
        const auto due = this->check_due_at();
        return !due || now >= *due;
    }

    /// Returns the event to report if the evidence has become so old that a
    /// change may be in force late, or is fresh again.
    std::optional<flow_event_kind> observe_staleness(time_point now);

    static constexpr std::chrono::hours max_peer_age{1};

private:
    duration time_limit;
    std::uint32_t check_rank = 0;
    std::optional<time_point> confirmed_at;
    bool is_stale = false;
};

} // namespace masticslip
