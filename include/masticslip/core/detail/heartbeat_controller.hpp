#pragma once
/// Sends this instance's record to its watchers and learns from the answers
/// which entries and siblings exist.

#include "masticslip/core/detail/freeze_detector.hpp"
#include "masticslip/core/event_sink.hpp"
#include "masticslip/core/internal_output.hpp"

#include <vector>

namespace masticslip::detail
{

/// Number of entries that watch one instance.
constexpr std::size_t watcher_count = 3;

/// Chooses the watchers of an instance among the entries; the instance
/// itself is never its own watcher.
std::vector<instance_id>
choose_watchers(instance_id watched, const std::vector<instance_id>& entries);

/// True if `watcher` is among the watchers of `watched`. Does not rank all
/// entries: stops once `watcher_count` entries have a higher score.
bool is_watcher(
    instance_id watcher,
    instance_id watched,
    const std::vector<instance_id>& entries);

/// Not thread-safe.
class heartbeat_controller
{
public:
    /// `seeds` are entries known from the settings.
    heartbeat_controller(
        internal_output& output,
        member_record self,
        std::vector<instance_id> seeds);

    /// Sends heartbeats that are due.
    void on_tick(time_point now);

    /// Sends heartbeats now, to watchers and seeds alike.
    void send_now(time_point now);

    /// Handles an answer; returns true if refute() raised this instance's
    /// version above the record in the answer.
    bool on_answer(
        time_point now,
        const message_header& header,
        const heartbeat_answer& answer);

    /// If another instance's record of this one, in this incarnation, is not
    /// older and differs in state, raises this instance's version above it and
    /// sends heartbeats (as SWIM refutes a suspicion). Returns true if it did.
    bool refute(time_point now, const member_record& reported);

    /// Changes the announced state and sends heartbeats immediately.
    void set_state(time_point now, member_state state);

    /// Changes the announced service and sends heartbeats immediately.
    void set_service(time_point now, service_id service);

    [[nodiscard]] const member_record& self() const
    {
        return this->record;
    }

    /// Entries listed in the last answer, including its sender; the seeds
    /// before the first answer.
    [[nodiscard]] const std::vector<instance_id>& entries() const
    {
        return this->known_entries;
    }

    /// Companions of the same service that take new work.
    [[nodiscard]] const std::vector<instance_incarnation>& siblings() const
    {
        return this->known_siblings;
    }

    /// True once any watcher has answered.
    [[nodiscard]] bool is_joined() const
    {
        return this->joined;
    }

private:
    internal_output& output;
    member_record record;
    std::vector<instance_id> seeds;
    std::vector<instance_id> known_entries;
    std::vector<instance_incarnation> known_siblings;
    time_point next_send;
    time_point last_answer;
    bool joined = false;
};

} // namespace masticslip::detail
