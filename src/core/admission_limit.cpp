#include "masticslip/core/admission_limit.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

constexpr double cold_limit = 1.0;
constexpr double latency_average_weight = 0.1;
constexpr double slow_latency_factor = 2.0;
constexpr double decrease_factor = 0.5;
constexpr double gradient_smoothing = 0.2;
constexpr double gradient_floor = 0.5;
/// Slots added per round; a round is `limit` completions.
constexpr double growth_per_round = 0.5;
/// Growth of the reference latency per sample, so that a service whose latency
/// has risen permanently is not refused forever.
constexpr double reference_drift = 1.002;

/// Tracks the lowest recent latency, in microseconds.
class reference_latency
{
public:
    void add(double sample)
    {
        if (this->value == 0 || sample < this->value)
        {
            this->value = sample;
            return;
        }
        this->value = std::min(this->value * reference_drift, sample);
    }

    [[nodiscard]] double get() const
    {
        return this->value;
    }

private:
    double value = 0;
};

class fixed_limit final : public admission_limit
{
public:
    explicit fixed_limit(std::uint32_t maximum) : maximum(maximum)
    {
    }

    [[nodiscard]] std::uint32_t limit() const override
    {
        return this->maximum;
    }

    void on_completion(time_point, duration, completion, std::uint32_t) override
    {
    }

    void on_cold_start(time_point) override
    {
    }

    void set_maximum(std::uint32_t value) override
    {
        this->maximum = value;
    }

private:
    std::uint32_t maximum;
};

/// Base of the limits that adapt to completions.
class adaptive_limit : public admission_limit
{
public:
    explicit adaptive_limit(std::uint32_t maximum) : maximum(maximum)
    {
    }

    [[nodiscard]] std::uint32_t limit() const override
    {
        return static_cast<std::uint32_t>(std::max(cold_limit, this->current));
    }

    void on_cold_start(time_point) override
    {
        this->current = cold_limit;
    }

    void set_maximum(std::uint32_t value) override
    {
        this->maximum = value;
        this->current = std::min(this->current, double(value));
    }

protected:
    void set_current(double value)
    {
        this->current = std::clamp(value, cold_limit, double(this->maximum));
    }

    /// Grows by growth_per_round per `limit` completions, only while the limit
    /// is reached.
    void grow(std::uint32_t in_flight)
    {
        if (in_flight >= this->limit())
        {
            this->set_current(this->current + growth_per_round / this->current);
        }
    }

    std::uint32_t maximum;
    double current = cold_limit;
    reference_latency reference;
};

/// Additive increase on success; multiplicative decrease on a refusal, a
/// timeout, or a latency above slow_latency_factor times the reference.
class aimd_limit final : public adaptive_limit
{
public:
    using adaptive_limit::adaptive_limit;

    void on_completion(
        time_point now,
        duration latency,
        completion outcome,
        std::uint32_t in_flight) override
    {
        if (outcome != completion::success)
        {
            this->decrease(now, latency);
            return;
        }
        const auto sample = static_cast<double>(latency.count());
        const double previous = this->reference.get();
        this->reference.add(sample);
        if (previous > 0 && sample > slow_latency_factor * previous)
        {
            this->decrease(now, latency);
            return;
        }
        this->grow(in_flight);
    }

private:
    /// Decreases at most once per request latency, so that a burst of failures
    /// counts only once.
    void decrease(time_point now, duration latency)
    {
        if (now < this->next_decrease)
        {
            return;
        }
        this->next_decrease = now + latency;
        this->set_current(this->current * decrease_factor);
    }

    time_point next_decrease;
};

/// Scales the limit by the ratio of reference latency to average latency.
class gradient_limit final : public adaptive_limit
{
public:
    using adaptive_limit::adaptive_limit;

    void on_completion(
        time_point,
        duration latency,
        completion outcome,
        std::uint32_t in_flight) override
    {
        if (outcome != completion::success)
        {
            this->set_current(this->current * decrease_factor);
            return;
        }
        const auto sample = static_cast<double>(latency.count());
        this->reference.add(sample);
        this->average = this->average == 0
                            ? sample
                            : this->average * (1 - latency_average_weight) +
                                  sample * latency_average_weight;
        const double ratio = std::clamp(
            slow_latency_factor * this->reference.get() / this->average,
            gradient_floor, 1.0);
        if (ratio < 1.0)
        {
            const double target = this->current * ratio;
            this->set_current(
                this->current * (1 - gradient_smoothing) +
                target * gradient_smoothing);
            return;
        }
        this->grow(in_flight);
    }

private:
    double average = 0;
};

} // namespace

std::unique_ptr<admission_limit>
make_admission_limit(limit_policy policy, std::uint32_t maximum)
{
    switch (policy)
    {
    case limit_policy::fixed:
        return std::make_unique<fixed_limit>(maximum);
    case limit_policy::aimd:
        return std::make_unique<aimd_limit>(maximum);
    case limit_policy::gradient:
        return std::make_unique<gradient_limit>(maximum);
    }
    return std::make_unique<aimd_limit>(maximum);
}

} // namespace masticslip
