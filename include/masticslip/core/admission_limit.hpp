#pragma once
/// Concurrency limits on the requests that a companion sends to its upstream.
///
/// Adaptive limits use only the outcomes and latencies that the companion
/// measures; load reports of the upstream are not trusted.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace masticslip
{

/// Outcome of an upstream request, as observed by the companion.
enum class completion : std::uint8_t
{
    success,
    refused, ///< The upstream rejected the request because of overload.
    timeout  ///< No response before the deadline.
};

/// A concurrency limit. Implementations are not thread-safe.
class admission_limit
{
public:
    virtual ~admission_limit() = default;

    /// Returns the maximum number of concurrent requests, at least 1.
    [[nodiscard]] virtual std::uint32_t limit() const = 0;

    /// Records a completed request. `in_flight` is the number of concurrent
    /// requests, including this one.
    virtual void on_completion(
        time_point now,
        duration latency,
        completion outcome,
        std::uint32_t in_flight) = 0;

    /// Resets the limit after the upstream has started cold.
    virtual void on_cold_start(time_point now) = 0;

    /// Changes the upper bound. Precondition: maximum >= 1.
    virtual void set_maximum(std::uint32_t maximum) = 0;
};

enum class limit_policy : std::uint8_t
{
    fixed,
    aimd,
    gradient
};

/// Precondition: maximum >= 1.
std::unique_ptr<admission_limit>
make_admission_limit(limit_policy policy, std::uint32_t maximum);

} // namespace masticslip
