#pragma once
/// State of an upstream as its local companion knows it.
///
///     upstream_monitor monitor(limits);
///     monitor.on_status(status, now);
///     if (monitor.is_accepting(now)) ...
///
/// A companion starts without any state: new flows are refused until the first
/// status of the upstream.

#include "masticslip/core/result_code.hpp"
#include "masticslip/flow/upstream_status.hpp"

#include <optional>
#include <vector>

namespace masticslip
{

/// Result of processing a status message.
enum class status_outcome : std::uint8_t
{
    accepted,
    /// An older message of this incarnation, or of a former one.
    outdated,
    /// Of another sender than the upstream beside this process.
    foreign
};

/// Result of a presence check: a connection to the upstream's address.
enum class upstream_presence : std::uint8_t
{
    running, ///< The connection was accepted: a process listens.
    absent,  ///< The connection was refused: no process listens.
    unknown  ///< No answer in time, or another error.
};

/// Time limits for upstream_monitor.
struct upstream_monitor_limits
{
    /// Interval at which the upstream is expected to send its status.
    std::chrono::milliseconds status_interval{1'000};
};

/// Not thread-safe.
class upstream_monitor
{
public:
    explicit upstream_monitor(upstream_monitor_limits limits) : limits(limits)
    {
    }

    /// This process starts to observe the upstream; call once, first.
    void on_start(time_point now);

    /// Processes a status of the upstream: accepted or outdated.
    /// Precondition: the upstream is its sender, which cannot be told here.
    status_outcome on_status(const upstream_status& status, time_point now);

    /// The upstream reports its departure. Returns false if another incarnation
    /// is known. Before any status the sender is unknown too: only statuses of
    /// that same incarnation are outdated then.
    bool on_departure(const upstream_incarnation& incarnation);

    /// A packet was forwarded to the upstream.
    void on_packet_sent(time_point now);

    /// The upstream sent a packet.
    void on_packet_received(time_point now);

    /// The upstream sent a packet itself: not one that its machine returned.
    void on_sign_of_life(time_point now);

    /// A presence check that was sent at `asked_at` found no process. Returns
    /// false if it does not count: the upstream has sent something since then,
    /// or has contradicted an earlier absence and not been found running since.
    bool on_absent(time_point asked_at);

    /// A presence check found a process. This proves nothing about flows, but
    /// ends an absence.
    void on_running();

    /// An absence no longer says anything about later incarnations: the process
    /// was suspended and may not have observed their start.
    void forget_absence();

    /// The upstream has sent data of a flow that it cannot hold if it was
    /// absent: the presence check is wrong about this upstream.
    void refute_absence();

    /// Refuses new flows until the next status, because the current one may be
    /// stale.
    void invalidate_status();

    /// Treats the upstream as cold until its next status, after its failure
    /// domain was returned to service.
    void assume_cold();

    /// Reason why new flows are refused, or `done`.
    [[nodiscard]] result_code refusal(time_point now) const;

    /// True while only few new flows may be forwarded.
    [[nodiscard]] bool is_cold(time_point now) const;

    /// True if every packet to this incarnation of the upstream passed through
    /// this process, so that the upstream holds no unknown flow. So it is after
    /// an absence, whichever incarnation follows.
    [[nodiscard]] bool is_observed_since_start() const
    {
        return this->observed_since_start || this->absent_at.has_value();
    }

    /// True if the newest that is known of the upstream is that it was absent.
    [[nodiscard]] bool is_absent() const
    {
        return this->absent;
    }

    /// Time before the newest absence that still counts; nullopt: none.
    [[nodiscard]] std::optional<time_point> last_absent_at() const
    {
        return this->absent_at;
    }

    /// True if the upstream that sent its status here has departed.
    [[nodiscard]] bool has_departed() const
    {
        return this->departed;
    }

    /// True if a departure arrived before any status. It may be that of a
    /// former incarnation.
    [[nodiscard]] bool may_have_departed() const
    {
        return !this->newest && !this->early_departures.empty();
    }

    /// Time of the newest accepted status or packet of the upstream.
    [[nodiscard]] time_point last_sign_of_life() const
    {
        return this->sign_of_life_at;
    }

    /// True if the upstream does not answer packets that were sent to it.
    [[nodiscard]] bool is_silent(time_point now) const;

    /// True if the upstream neither answers nor sends its status.
    [[nodiscard]] bool is_lost(time_point now) const;

    /// The newest accepted status, or null.
    [[nodiscard]] const upstream_status* status() const
    {
        return this->newest ? &*this->newest : nullptr;
    }

    /// Time of the newest accepted status.
    [[nodiscard]] time_point last_status_at() const
    {
        return this->status_received_at;
    }

    /// True without a status, or if the newest is older than the limit.
    [[nodiscard]] bool is_status_overdue(time_point now) const;

private:
    /// True if a departure of this incarnation arrived before any status.
    [[nodiscard]] bool
    has_departed_early(const upstream_incarnation& incarnation) const;
    /// True if the sender of this status, the first of its incarnation, started
    /// after this process.
    [[nodiscard]] bool started_under_observation(
        const upstream_status& status, time_point now) const;

    /// True if the sender's number of statuses fits a start after the absence.
    [[nodiscard]] bool
    started_after_absence(const upstream_status& status, time_point now) const;

    upstream_monitor_limits limits;
    time_point observing_since;
    std::optional<upstream_status> newest;
    time_point status_received_at;
    time_point sign_of_life_at;
    time_point cold_until;
    std::optional<time_point> unanswered_since;
    bool status_valid = false;
    bool departed = false;
    /// Incarnations whose departure arrived before any status.
    std::vector<upstream_incarnation> early_departures;
    bool cold_until_status = false;
    bool observed_since_start = false;
    /// When the check that found the upstream absent was sent.
    std::optional<time_point> absent_at;
    bool absent = false;
    /// An upstream that runs while connections to it are refused does not
    /// listen there; its checks do not count until one finds it running.
    bool check_trusted = true;
};

} // namespace masticslip
