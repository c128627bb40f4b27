#pragma once
/// Turns events of the layer-4 path into counters, histograms and log lines.
/// Routine events are sampled; other lines are rate-limited, and the number of
/// suppressed lines is logged.

#include "masticslip/flow/flow_event.hpp"
#include "masticslip/flow/policy.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace masticslip
{

/// Cumulative Prometheus histogram with fixed bounds. Not thread-safe.
class latency_histogram
{
public:
    void add(duration value);

    /// Appends the histogram to `text` in the Prometheus text format.
    void write(const std::string& name, std::string& text) const;

private:
    /// Upper bounds in microseconds, from the latency of one network hop to the
    /// longest timeout.
    static constexpr std::array<std::int64_t, 12> bounds{
        100,    250,    500,    1'000,   2'500,     5'000,
        10'000, 25'000, 50'000, 100'000, 1'000'000, 10'000'000};

    std::array<std::uint64_t, bounds.size()> counts{};
    std::uint64_t total = 0;
    std::int64_t sum = 0;
};

/// Collects metrics and writes log lines. Not thread-safe.
class flow_telemetry final : public flow_event_sink
{
public:
    /// Writes one line of log text.
    using line_writer = std::function<void(const std::string&)>;

    /// Writes lines to the process log.
    flow_telemetry();

    /// Passes lines to `write`.
    explicit flow_telemetry(line_writer write) : write(std::move(write))
    {
    }

    void on_event(time_point now, const flow_event& event) override;

    /// Sets a gauge, which is exported as `masticslip_NAME`.
    void set_gauge(const std::string& name, double value)
    {
        this->gauges[name] = value;
    }

    [[nodiscard]] const std::map<std::string, double>& all_gauges() const
    {
        return this->gauges;
    }

    /// Adds to a counter, which is exported as `masticslip_NAME`.
    void count(const std::string& name, std::uint64_t by = 1)
    {
        this->counters[name] += by;
    }

    [[nodiscard]] std::uint64_t count_of(flow_event_kind kind) const
    {
        return this->event_counts.at(static_cast<std::size_t>(kind));
    }

    /// Metrics in the Prometheus text format.
    [[nodiscard]] std::string prometheus() const;

private:
    bool should_log(time_point now, const flow_event& event);

    line_writer write;
    std::array<std::uint64_t, flow_event_count> event_counts{};
    std::map<result_code, std::uint64_t> result_counts;
    std::map<result_code, std::uint64_t> reset_counts;
    std::map<std::string, double> gauges;
    std::map<std::string, std::uint64_t> counters;
    latency_histogram open_latency;
    latency_histogram lookup_latency;
    time_point window_start;
    std::uint32_t lines_in_window = 0;
    std::uint64_t suppressed_lines = 0;
};

} // namespace masticslip
