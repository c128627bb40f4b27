#pragma once
/// Converts core events to metrics, log lines and trace spans.

#include "masticslip/core/event_sink.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <map>
#include <random>
#include <string>

namespace masticslip
{

/// Counters, latencies, logs and spans of one process. Not thread-safe.
class telemetry final : public event_sink
{
public:
    /// `process` names the process in spans; `seed` seeds the
    /// generator of trace and span ids.
    telemetry(std::string process, std::uint64_t seed);

    void on_event(time_point now, const core_event& event) override;

    /// Counts a rejected internal datagram.
    void count_refused_datagram(result_code code);

    /// Sets a gauge that is exported with the counters.
    void set_gauge(const std::string& name, double value);

    /// Returns a new trace context for one of every `sampling_interval`
    /// packets, otherwise an empty one. Zero disables sampling.
    trace_context sample_trace(std::uint32_t sampling_interval);

    /// Metrics in the Prometheus text format.
    [[nodiscard]] std::string prometheus() const;

    /// Number of events of one kind so far.
    [[nodiscard]] std::uint64_t count(event_kind kind) const
    {
        return this->counts.at(static_cast<std::size_t>(kind));
    }

private:
    using latency_statistics = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count,
            boost::accumulators::tag::mean,
            boost::accumulators::tag::max,
            boost::accumulators::tag::p_square_quantile>>;

    void write_log(time_point now, const core_event& event);
    void write_span(const core_event& event);

    std::string process;
    std::mt19937_64 random;
    std::uint32_t packets_until_sample = 0;
    std::array<std::uint64_t, event_kind_count> counts{};
    std::map<result_code, std::uint64_t> codes;
    std::map<std::string, double> gauges;
    /// Both receive all latencies: an accumulator estimates a single quantile.
    latency_statistics request_median;
    latency_statistics request_p99;
    time_point log_window_start;
    std::uint32_t lines_in_window = 0;
    /// Info lines omitted by the rate limit since the last report of them.
    /// (Lines that do not fit into a bounded_output are counted there as
    /// dropped.)
    std::uint64_t suppressed_lines = 0;
};

} // namespace masticslip
