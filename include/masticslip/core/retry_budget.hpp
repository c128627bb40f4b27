#pragma once
/// Bounds retries to a share of the recent requests, so that retries cannot
/// multiply an overload.

#include <algorithm>

namespace masticslip
{

/// Token budget for retries. Not thread-safe.
class retry_budget
{
public:
    /// Each request earns `ratio` retries; at most `burst` are saved up.
    /// Preconditions: 0 <= ratio <= 1, burst >= 0.
    retry_budget(double ratio, double burst)
        : ratio(ratio), burst(burst), tokens(burst)
    {
    }

    /// Counts a first attempt.
    void on_request()
    {
        this->tokens = std::min(this->burst, this->tokens + this->ratio);
    }

    /// Takes one retry; false if none is left.
    bool take()
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
