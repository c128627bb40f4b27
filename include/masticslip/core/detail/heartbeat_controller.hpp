#pragma once
/// Sends this instance's record to its watchers and learns from the answers
/// which entries and siblings exist.

#include "masticslip/core/detail/freeze_guard.hpp"
#include "masticslip/core/event_sink.hpp"
#include "masticslip/core/internal_output.hpp"

#include <vector>

namespace masticslip::detail
{

/// Entries that watch one instance.
constexpr std::size_t watcher_count = 3;

/// Chooses the watchers of an instance among the entries; the instance
/// itself is never its own watcher.
std::vector<instance_id>
choose_watchers(instance_id watched, const std::vector<instance_id>& entries);

/// True if `watcher` is among the watchers of `watched`. Unlike choosing them
/// all it stops at the third better entry.
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

    /// Takes an answer; returns true if the record of this instance was
    /// raised over a watcher's suspicion.
    bool on_answer(
        time_point now,
        const message_header& header,
        const heartbeat_answer& answer);

    /// Raises the own record over what another instance believes of it.
    /// Returns true if the two differed.
    bool refute(time_point now, const member_record& believed);

    /// Changes the announced state at once.
    void set_state(time_point now, member_state state);

    /// Changes the announced service at once.
    void set_service(time_point now, service_id service);

    [[nodiscard]] const member_record& self() const
    {
        return this->record;
    }

    /// Entries named by the last answer, the answering one included; the
    /// seeds before any answer.
    [[nodiscard]] const std::vector<instance_id>& entries() const
    {
        return this->known_entries;
    }

    /// Companions of the same service that take new work.
    [[nodiscard]] const std::vector<instance_life>& siblings() const
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
    std::vector<instance_life> known_siblings;
    time_point next_send;
    time_point last_answer;
    bool joined = false;
};

} // namespace masticslip::detail
