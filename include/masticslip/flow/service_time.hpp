#pragma once
/// How long an upstream works on a request, measured from its answers.
///
/// Load pattern: upstreams of one service differ in speed by more than two, and
/// an upstream that has just started is slower than itself a second later. Its
/// status does not tell. The time from the last new byte of a request to the
/// first byte of its answer does, if the time in the upstream's queue is taken
/// out.
///
///     times.on_answered(now, {flow.request_at, now - flow.request_at,
///                             requests_in_progress, slots});
///     load.request_time = times.median();
///
/// The median over the newest answers is not affected by the few requests that
/// take several times as long, nor by one whose packet was retransmitted.
///
/// Caveat: the time in the queue is derived from the number of requests in
/// progress when the request was sent. It assumes that the upstream serves them
/// in order, and counts a flow that was just opened as a request in progress,
/// so the result is low by up to the share of such flows.

#include "masticslip/core/types.hpp"

#include <chrono>
#include <cstdint>
#include <deque>

namespace masticslip
{

/// A request whose answer has begun.
struct answered_request
{
    /// When the last new byte of the request was forwarded.
    time_point started;
    /// From then to the first byte of the answer.
    duration elapsed{};
    /// Requests in progress at the start, including this one.
    std::uint32_t in_progress = 1;
    /// Requests that the upstream processes at once.
    std::uint32_t slots = 1;

    /// True if the request waited in the upstream's queue.
    [[nodiscard]] bool was_queued() const
    {
        return this->in_progress > this->slots;
    }

    /// `elapsed` without the time in the queue.
    [[nodiscard]] duration time_at_work() const
    {
        return this->was_queued()
                   ? this->elapsed * this->slots / this->in_progress
                   : this->elapsed;
    }
};

/// Not thread-safe; times must not decrease.
class service_time
{
public:
    void on_answered(time_point now, const answered_request& request);

    /// Discards everything: the upstream has a new incarnation.
    void clear();

    /// Median time at work of the newest requests; zero if there are none.
    [[nodiscard]] std::chrono::microseconds median() const
    {
        return this->cached_median;
    }

    /// Number of requests from which the median is taken.
    [[nodiscard]] std::uint32_t samples() const
    {
        return static_cast<std::uint32_t>(this->newest.size());
    }

    /// Requests that were answered in the second before `now`.
    [[nodiscard]] std::uint32_t finished_per_second(time_point now);

private:
    std::deque<duration> newest;
    std::deque<time_point> finished;
    std::chrono::microseconds cached_median{};
};

} // namespace masticslip
