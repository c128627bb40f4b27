#include "masticslip/flow/upstream_outliers.hpp"

#include <algorithm>
#include <cmath>

namespace masticslip
{

namespace
{

/// Standard deviations by which the failures exceed those that the share of the
/// other upstreams would cause.
constexpr double deviations = 3.0;
/// The share of failures is at least this multiple of that of the others.
constexpr double min_ratio = 2.0;
/// Answers for each failure by which an outlier shows that it has recovered.
constexpr std::uint32_t recovery_ratio = 2;

bool is_outlier(const compared_upstream& upstream, const outcome_counts& all)
{
    const outcome_counts& item = upstream.outcomes;
    const bool has_recovered = item.answered >= recovery_ratio * item.failed;
    if (item.failed < min_outlier_failures &&
        (!upstream.was_outlier || has_recovered))
    {
        return false;
    }
    const double requests = item.answered + item.failed;
    const double failed_elsewhere = all.failed - item.failed;
    const double requests_elsewhere = all.answered + all.failed - requests;
    // Rule of succession: an estimate also if the others have few requests.
    const double share_elsewhere =
        (failed_elsewhere + 1) / (requests_elsewhere + 2);
    const double expected = requests * share_elsewhere;
    return item.failed > expected + deviations * std::sqrt(expected) &&
           item.failed > min_ratio * expected;
}

} // namespace

std::vector<bool> find_outliers(std::span<const compared_upstream> upstreams)
{
    outcome_counts all;
    for (const compared_upstream& item : upstreams)
    {
        all.answered += item.outcomes.answered;
        all.failed += item.outcomes.failed;
    }
    std::vector<bool> result(upstreams.size(), false);
    std::size_t count = 0;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
    {
        result[i] = is_outlier(upstreams[i], all);
        count += result[i] ? 1 : 0;
    }
    if (static_cast<double>(count) >
        max_outlier_share * static_cast<double>(upstreams.size()))
    {
        result.assign(upstreams.size(), false);
    }
    return result;
}

bool answers_mostly(const outcome_counts& upstream)
{
    return upstream.answered >= upstream.failed;
}

} // namespace masticslip
