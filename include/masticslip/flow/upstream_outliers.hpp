#pragma once
/// Selection of upstreams whose requests fail far more often than those of the
/// other upstreams of their service.
///
/// Load pattern: a part of the upstreams ends flows without an answer while
/// their status is good. Since they finish flows at once they look idle, draw
/// most new flows, and requests that must run at most once are lost there. The
/// comparison with the other upstreams tells this from a fault that all share,
/// such as invalid requests of a route or a lost dependency: then there is no
/// better place, and none is set aside.
///
///     const auto outliers = find_outliers(upstreams);
///     if (outliers[i]) ...    // use the others, and probe this one

#include "masticslip/flow/request_outcomes.hpp"

#include <span>
#include <vector>

namespace masticslip
{

/// At most this share of a service's upstreams is set aside. If more of them
/// fail, it is not the upstream.
inline constexpr double max_outlier_share = 0.5;

/// Fewer failures may be chance, or packets lost on the way to a caller.
inline constexpr std::uint32_t min_outlier_failures = 3;

/// An upstream that is compared with the others of its service.
struct compared_upstream
{
    outcome_counts outcomes;
    /// Result of the last comparison. An outlier remains one until it answers
    /// most probes, or its failures are forgotten because it was not tried.
    bool was_outlier = false;
};

/// Returns whether each upstream of a service is an outlier. Thread-safe.
std::vector<bool> find_outliers(std::span<const compared_upstream> upstreams);

/// True if at least as many requests were answered as failed. Such an outlier
/// is better than none; others only cost their callers a try. Thread-safe.
bool answers_mostly(const outcome_counts& upstream);

} // namespace masticslip
