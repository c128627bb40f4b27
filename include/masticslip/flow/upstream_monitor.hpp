#pragma once
/// What a companion believes of the upstream beside it.
///
///     upstream_monitor monitor(limits);
///     monitor.on_status(status, now);
///     if (monitor.is_accepting(now)) ...
///
/// A companion knows nothing at its start: new flows wait for the first status
/// of the upstream.

#include "masticslip/core/result_code.hpp"
#include "masticslip/flow/upstream_status.hpp"

#include <optional>

namespace masticslip
{

/// What became of a status message.
enum class status_outcome : std::uint8_t
{
    accepted,
    /// An older message of this incarnation, or of a former one.
    outdated
};

/// Times after which an upstream counts as silent.
struct upstream_monitor_limits
{
    /// Interval at which the upstream is asked to send its status.
    std::chrono::milliseconds status_interval{1'000};
};

/// Not thread-safe.
class upstream_monitor
{
public:
    explicit upstream_monitor(upstream_monitor_limits limits) : limits(limits)
    {
    }

    /// Takes a status. Sets `is_new_incarnation` on the first of a start.
    status_outcome on_status(const upstream_status& status, time_point now);

    /// The upstream says that it is gone. False if a later start is known.
    bool on_departure(const upstream_incarnation& incarnation);

    /// A packet was passed on to the upstream.
    void on_packet_sent(time_point now);

    /// The upstream sent a packet.
    void on_packet_received(time_point now);

    /// What was believed until now may be out of date: waits for a new status.
    void distrust();

    /// The upstream's failure domain was returned: the upstream may be cold
    /// until its next status.
    void assume_cold();

    /// Why new flows are refused, or `done`.
    [[nodiscard]] result_code refusal(time_point now) const;

    /// True while only few new flows may be passed on.
    [[nodiscard]] bool is_cold(time_point now) const;

    /// True if every packet that reached this start of the upstream passed
    /// through this process, so that an unknown flow does not exist.
    [[nodiscard]] bool has_seen_whole_life() const
    {
        return this->whole_life_seen;
    }

    [[nodiscard]] bool has_departed() const
    {
        return this->departed;
    }

    /// True if the upstream answers nothing although packets were sent.
    [[nodiscard]] bool is_silent(time_point now) const;

    /// Time without a status after which the upstream counts as down.
    [[nodiscard]] duration overdue_limit() const;

    /// True if the upstream neither answers nor sends its status.
    [[nodiscard]] bool is_lost(time_point now) const;

    /// The newest accepted status, or null.
    [[nodiscard]] const upstream_status* status() const
    {
        return this->newest ? &*this->newest : nullptr;
    }

    /// Time of the newest accepted status.
    [[nodiscard]] time_point heard_at() const
    {
        return this->status_at;
    }

private:
    [[nodiscard]] bool is_status_overdue(time_point now) const;

    upstream_monitor_limits limits;
    std::optional<upstream_status> newest;
    time_point status_at;
    time_point cold_until;
    std::optional<time_point> unanswered_since;
    bool trusted = false;
    bool departed = false;
    bool cold_until_status = false;
    bool whole_life_seen = false;
};

} // namespace masticslip
