#include "masticslip/flow/cold_start_limit.hpp"

#include <algorithm>
#include <cmath>

namespace masticslip
{

namespace
{

/// One second, plus a margin for variation of the delay to the upstream.
constexpr std::chrono::milliseconds window{1'050};

} // namespace

std::uint32_t cold_start_limit::available(time_point now, double per_second)
{
    this->expire(now);
    const auto allowed =
        static_cast<std::size_t>(std::max(1.0, std::floor(per_second)));
    const std::size_t used = this->admitted_at.size();
    return static_cast<std::uint32_t>(used < allowed ? allowed - used : 0);
}

void cold_start_limit::on_admitted(time_point now)
{
    this->expire(now);
    this->admitted_at.push_back(now);
}

void cold_start_limit::expire(time_point now)
{
    while (!this->admitted_at.empty() &&
           now - this->admitted_at.front() >= window)
    {
        this->admitted_at.pop_front();
    }
}

} // namespace masticslip
