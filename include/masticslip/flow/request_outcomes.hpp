#pragma once
/// Recent outcomes of the requests at one upstream.
///
/// Load pattern: an upstream whose status is good resets its flows, closes them
/// without an answer or does not answer. It ends requests at once or holds few,
/// so by its load it looks idle. Its companion therefore counts how requests
/// end, and entries compare the counts of a service (upstream_outliers.hpp).
///
///     outcomes.on_answered(now);
///     outcomes.on_failed(now);
///     const outcome_counts recent = outcomes.recent(now);
///
/// Caveat: the contents of flows are opaque, so an answer that reports an error
/// counts as an answer.

#include "masticslip/core/types.hpp"

#include <cstdint>

namespace masticslip
{

/// Requests that ended recently; a request counts half after each
/// `outcome_half_life`.
struct outcome_counts
{
    std::uint32_t answered = 0;
    /// Ended or delayed by the upstream without an answer.
    std::uint32_t failed = 0;

    bool operator==(const outcome_counts&) const = default;
};

/// Callers of a failed request retry within about this time, so the counts
/// follow an upstream that recovers as fast as its callers return.
inline constexpr std::chrono::seconds outcome_half_life{1};

/// Not thread-safe; times must not decrease.
class request_outcomes
{
public:
    void on_answered(time_point now)
    {
        this->decay(now);
        ++this->answered;
    }

    void on_failed(time_point now)
    {
        this->decay(now);
        ++this->failed;
    }

    /// The upstream has started: it did not cause what happened before.
    void clear()
    {
        this->answered = 0;
        this->failed = 0;
    }

    [[nodiscard]] outcome_counts recent(time_point now);

private:
    void decay(time_point now);

    double answered = 0;
    double failed = 0;
    time_point decayed_at;
};

} // namespace masticslip
