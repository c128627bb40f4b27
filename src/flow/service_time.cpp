#include "masticslip/flow/service_time.hpp"

#include <algorithm>
#include <vector>

namespace masticslip
{

namespace
{

/// With 3 of 100 requests slow, half of 31 are slow in fewer than one of 10^12
/// windows. A busy upstream replaces them within a second.
constexpr std::size_t window = 31;
/// Bounds the memory for answers of one second. An upstream with three slots
/// answers below 200.
constexpr std::size_t max_finished = 10'000;

} // namespace

void service_time::on_answered(time_point now, const answered_request& request)
{
    this->newest.push_back(request.time_at_work());
    if (this->newest.size() > window)
    {
        this->newest.pop_front();
    }
    std::vector<duration> sorted(this->newest.begin(), this->newest.end());
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    this->cached_median =
        std::chrono::duration_cast<std::chrono::microseconds>(*middle);
    this->finished.push_back(now);
    if (this->finished.size() > max_finished)
    {
        this->finished.pop_front();
    }
}

void service_time::clear()
{
    *this = {};
}

std::uint32_t service_time::finished_per_second(time_point now)
{
    while (!this->finished.empty() &&
           now - this->finished.front() >= std::chrono::seconds(1))
    {
        this->finished.pop_front();
    }
    return static_cast<std::uint32_t>(this->finished.size());
}

} // namespace masticslip
