#include "masticslip/flow/opening_backoff.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// About the work of one request: a full upstream may have room again.
constexpr std::chrono::milliseconds first_pause{25};
/// Below the interval of status messages, which tell of a return as well.
constexpr std::chrono::milliseconds longest_pause{400};

} // namespace

void opening_backoff::on_passed(time_point now)
{
    if (this->pause.count() != 0)
    {
        this->paused_until = now + this->pause;
    }
}

void opening_backoff::on_bounced(time_point now)
{
    if (this->is_paused(now) && this->pause == duration(first_pause))
    {
        // One of several that were passed on before the first came back.
        return;
    }
    this->pause =
        std::clamp<duration>(this->pause * 2, first_pause, longest_pause);
    this->paused_until = now + this->pause;
}

void opening_backoff::clear()
{
    this->pause = {};
    this->paused_until = {};
}

} // namespace masticslip
