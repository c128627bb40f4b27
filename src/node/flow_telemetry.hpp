#pragma once
/// Turns decisions of the layer-4 path into counters, histograms and log
/// lines. Lines of frequent kinds are sampled; the rest is bounded by a rate
/// limit that counts what it left out.

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

/// Cumulative counts of times below fixed bounds. Not thread-safe.
class latency_histogram
{
public:
    void add(duration value);

    /// Appends the histogram in Prometheus text form.
    void write(const std::string& name, std::string& text) const;

private:
    /// Upper bounds in microseconds, from the time of one hop to the longest
    /// time limit.
    static constexpr std::array<std::int64_t, 12> bounds{
        100,    250,    500,    1'000,   2'500,     5'000,
        10'000, 25'000, 50'000, 100'000, 1'000'000, 10'000'000};

    std::array<std::uint64_t, bounds.size()> counts{};
    std::uint64_t total = 0;
    std::int64_t sum = 0;
};

/// Not thread-safe.
class flow_telemetry final : public flow_event_sink
{
public:
    /// Takes the text of a line.
    using line_writer = std::function<void(const std::string&)>;

    /// Lines go to the log.
    flow_telemetry();

    /// Lines go to `write`.
    explicit flow_telemetry(line_writer write) : write(std::move(write))
    {
    }

    void on_event(time_point now, const flow_event& event) override;

    /// Sets a gauge that is shown with the counters.
    void set_gauge(const std::string& name, double value)
    {
        this->gauges[name] = value;
    }

    /// All gauges by name.
    [[nodiscard]] const std::map<std::string, double>& all_gauges() const
    {
        return this->gauges;
    }

    /// Raises a counter.
    void count(const std::string& name, std::uint64_t by = 1)
    {
        this->counters[name] += by;
    }

    [[nodiscard]] std::uint64_t count_of(flow_event_kind kind) const
    {
        return this->by_kind.at(static_cast<std::size_t>(kind));
    }

    /// Metrics in the Prometheus text format.
    [[nodiscard]] std::string prometheus() const;

private:
    bool admits_line(time_point now, const flow_event& event);

    line_writer write;
    std::array<std::uint64_t, flow_event_count> by_kind{};
    std::map<result_code, std::uint64_t> by_code;
    std::map<std::string, double> gauges;
    std::map<std::string, std::uint64_t> counters;
    latency_histogram open_time;
    latency_histogram look_up_time;
    time_point window_start;
    std::uint32_t lines_in_window = 0;
    std::uint64_t left_out = 0;
};

} // namespace masticslip
