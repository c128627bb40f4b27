#include "masticslip/flow/opening_backoff.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// About the service time of one request, after which a full upstream may have
/// capacity again.
constexpr std::chrono::milliseconds initial_pause{25};
/// Below the interval of status messages, which also report a restart.
constexpr std::chrono::milliseconds max_pause{400};

} // namespace

void opening_backoff::on_forwarded(time_point now)
{
    if (this->pause.count() != 0)
    {
        this->paused_until = now + this->pause;
    }
}

void opening_backoff::on_bounced(time_point now)
{
    if (this->is_paused(now) && this->pause == duration(initial_pause))
    {
        // Several openings were forwarded before the first one bounced.
        return;
    }
    this->pause =
        std::clamp<duration>(this->pause * 2, initial_pause, max_pause);
    this->paused_until = now + this->pause;
}

void opening_backoff::clear()
{
    this->pause = {};
    this->paused_until = {};
}

} // namespace masticslip
