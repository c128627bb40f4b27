#include "node_clock.hpp"

#include <ctime>

namespace masticslip
{

time_point node_now()
{
    // std::chrono::steady_clock does not advance while the system is suspended.
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace masticslip
