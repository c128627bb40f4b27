#include "masticslip/flow/request_outcomes.hpp"

#include <cmath>

namespace masticslip
{

outcome_counts request_outcomes::recent(time_point now)
{
    this->decay(now);
    return {
        static_cast<std::uint32_t>(std::lround(this->answered)),
        static_cast<std::uint32_t>(std::lround(this->failed))};
}

void request_outcomes::decay(time_point now)
{
    using seconds = std::chrono::duration<double>;
    if (this->answered != 0 || this->failed != 0)
    {
        const double half_lives =
            seconds(now - this->decayed_at) / seconds(outcome_half_life);
        const double factor = std::exp2(-half_lives);
        this->answered *= factor;
        this->failed *= factor;
    }
    this->decayed_at = now;
}

} // namespace masticslip
