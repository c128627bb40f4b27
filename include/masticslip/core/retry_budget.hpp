#pragma once
/// Limits retries to a fraction of the recent requests, so that retries cannot
/// amplify an overload.

#include <algorithm>

namespace masticslip
{

/// Token bucket for retries. Not thread-safe.
class retry_budget
{
public:
    /// Each request adds `ratio` tokens, up to a maximum of `burst`.
    /// Preconditions: 0 <= ratio <= 1, burst >= 0.
    retry_budget(double ratio, double burst)
        : ratio(ratio), burst(burst), tokens(burst)
    {
    }

    /// Adds tokens for a first attempt.
    void on_request()
    {
        this->tokens = std::min(this->burst, this->tokens + this->ratio);
    }

    /// Consumes one token for a retry. Returns false if none is available.
    bool try_acquire()
    {
        if (this->tokens < 1.0)
        {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double ratio;
    double burst;
    double tokens;
};

} // namespace masticslip
