#pragma once
/// Limits on the requests that a companion gives its upstream at once.
///
/// All limits are driven only by what the companion itself observes; the
/// upstream's own load reports are not believed.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace masticslip
{

/// How a request to the upstream ended, as the companion saw it.
enum class completion : std::uint8_t
{
    success,
    refused, ///< The upstream shed the request.
    timeout  ///< No answer before the deadline.
};

/// A concurrency limit. Implementations are not thread-safe.
class admission_limit
{
public:
    virtual ~admission_limit() = default;

    /// Returns the largest number of concurrent requests, at least 1.
    [[nodiscard]] virtual std::uint32_t limit() const = 0;

    /// Records the end of a request that ran beside `in_flight` - 1 others.
    virtual void on_completion(
        time_point now,
        duration latency,
        completion outcome,
        std::uint32_t in_flight) = 0;

    /// Starts over for an upstream that is known to be cold.
    virtual void on_cold_start(time_point now) = 0;

    /// Changes the upper bound. Precondition: maximum >= 1.
    virtual void set_maximum(std::uint32_t maximum) = 0;
};

/// Names of the implemented policies.
enum class limit_policy : std::uint8_t
{
    fixed,
    aimd,
    gradient
};

/// Creates a limit. Precondition: maximum >= 1.
std::unique_ptr<admission_limit>
make_admission_limit(limit_policy policy, std::uint32_t maximum);

} // namespace masticslip
