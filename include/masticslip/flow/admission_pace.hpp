#pragma once
/// Number of requests in flight that a companion admits, from how the upstream
/// answers.
///
/// Load pattern: upstreams differ in speed by more than two, start cold, and
/// slow down. A fixed number of requests in flight lets a slow upstream queue
/// more than its callers wait for, and fills one that has just returned before
/// it has shown that it answers. The limit therefore starts at two requests per
/// slot, grows while answers come without queueing, and halves when they do not
/// come in time. It never exceeds what the upstream can answer within the
/// target latency at its present speed.
///
/// Load pattern: more openings wait than a service has room for. What queues at
/// an upstream is served in order of arrival, whatever its priority and the
/// time that its caller still waits; entries order what waits there. No more
/// are therefore admitted than keep all slots busy while the next opening is on
/// its way, and two square roots of the slots for the variation of requests.
///
///     pace.restart(now, pace_change::new_incarnation);
///     pace.on_answered(now, request);
///     if (in_flight >= pace.limit(slots)) refuse();
///
/// Decisions are made by rounds: the answers to the first few requests that
/// were sent after the last change. The median of a round ignores the few
/// requests that take several times as long.
///
/// Caveat: an upstream with few requests grows slowly, because it shows
/// nothing. Below about 14 answers a second it takes longer than 2 s.

#include "masticslip/flow/service_time.hpp"

#include <string_view>
#include <vector>

namespace masticslip
{

/// Why the pace is what it is.
enum class pace_change : std::uint8_t
{
    start,           ///< The process has started.
    new_incarnation, ///< The upstream has started.
    silence,         ///< The upstream does not answer.
    returned_domain, ///< Its failure domain was returned to service.
    answers_in_time, ///< A round came without queueing.
    answers_late,    ///< Rounds took more than half of the target latency.
    bounce           ///< The upstream returned an opening packet.
};

/// Stable name for logs.
std::string_view to_string(pace_change value);

/// Not thread-safe; times must not decrease.
class admission_pace
{
public:
    /// Target latency of the service's fastest route; zero: not known, and late
    /// answers do not reduce the pace.
    void set_target(duration value)
    {
        this->target = value;
    }

    /// The upstream has started or recovered.
    void restart(time_point now, pace_change reason);

    void on_answered(time_point now, const answered_request& request);

    /// A new flow was admitted, and its caller sent the first request this long
    /// after that.
    void on_first_request(duration opening_time);

    /// The upstream returned an opening packet that was first forwarded at
    /// `forwarded`.
    void on_bounced(time_point now, time_point forwarded);

    /// Requests in flight at which new flows are refused.
    [[nodiscard]] std::uint32_t limit(std::uint32_t slots) const;

    [[nodiscard]] pace_change last_change() const
    {
        return this->reason;
    }

private:
    void finish_round(time_point now);
    /// Requests in flight that keep all slots busy.
    [[nodiscard]] double busy_limit(std::uint32_t slots) const;
    /// Upper bound, in requests per slot, so that the last of the requests in
    /// flight is answered within the target.
    [[nodiscard]] double sustainable() const;
    /// Half of the requests in flight per slot that are admitted now.
    [[nodiscard]] double half_of_limit() const;
    /// Applies a pace, in requests per slot, unless it is the present one.
    void change(time_point now, double value, pace_change why);
    /// Lowest median time at work of 10 to 20 s, including `median`.
    duration lowest_with(time_point now, duration median);

    duration target{};
    double per_slot = 2;
    /// Lower median time at work of the two newest rounds: slow requests on all
    /// slots at once raise one. Zero: not known.
    duration work{};
    /// Moving average; zero: not known.
    duration opening_time{};
    /// Slots of the upstream at the last answer.
    std::uint32_t known_slots = 1;
    int late_rounds = 0;
    /// Median time at work of the round before; zero: none.
    duration former_work{};
    pace_change reason = pace_change::start;
    time_point changed_at;
    /// Times of the present round: at work, and in total for requests that
    /// queued (zero for others).
    std::vector<duration> at_work;
    std::vector<duration> queued;
    /// Lowest medians of the present period and the one before; zero: none.
    duration lowest{};
    duration former_lowest{};
    time_point period_start;
};

} // namespace masticslip
