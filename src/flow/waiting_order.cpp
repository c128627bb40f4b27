#include "masticslip/flow/waiting_order.hpp"

#include <algorithm>
#include <tuple>

namespace masticslip
{

void sort_waiting(
    time_point answer_time, std::vector<waiting_opening>& openings)
{
    const auto rank = [answer_time](const waiting_opening& item)
    {
        const time_point target_end = item.first_seen + item.target_latency;
        const bool is_late = target_end <= answer_time;
        return std::make_tuple(
            is_late, is_late ? item.first_seen : target_end, item.arrival);
    };
    std::sort(
        openings.begin(), openings.end(),
        [&rank](const waiting_opening& first, const waiting_opening& second)
        { return rank(first) < rank(second); });
}

} // namespace masticslip
