#include "telemetry.hpp"

#include "log.hpp"

#include <boost/accumulators/statistics/parameters/quantile_probability.hpp>

#include <cstdio>
#include <sstream>
#include <string_view>

namespace masticslip
{

namespace accumulators = boost::accumulators;

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t max_info_lines_per_second = 200;

/// Frequent events, such as those of every packet, have the debug level.
log_level log_level_for(event_kind kind)
{
    switch (kind)
    {
    case event_kind::packet_forwarded:
    case event_kind::reply_delivered:
    case event_kind::packet_relayed:
    case event_kind::packet_retried:
    case event_kind::flow_created:
    case event_kind::flow_looked_up:
    case event_kind::flow_redirected:
    case event_kind::request_executed:
    case event_kind::request_completed:
    case event_kind::request_repeated:
    case event_kind::request_cancelled:
    case event_kind::notification_sent:
    case event_kind::watch_started:
        return log_level::debug;
    case event_kind::freeze_detected:
    case event_kind::configuration_refused:
    case event_kind::flow_given_up:
        return log_level::warning;
    default:
        return log_level::info;
    }
}

/// Name of the span that ends with an event, or an empty name.
std::string_view span_name_for(event_kind kind)
{
    switch (kind)
    {
    case event_kind::packet_forwarded:
        return "entry.forward";
    case event_kind::packet_relayed:
        return "companion.relay";
    case event_kind::request_executed:
        return "companion.admit";
    case event_kind::request_completed:
        return "upstream.request";
    case event_kind::reply_delivered:
        return "entry.reply";
    default:
        return {};
    }
}

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx",
        static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace

telemetry::telemetry(std::string process, std::uint64_t seed)
    : process(std::move(process)), random(seed),
      request_median(accumulators::quantile_probability = 0.5),
      request_p99(accumulators::quantile_probability = 0.99)
{
}

void telemetry::on_event(time_point now, const core_event& event)
{
    ++this->counts.at(static_cast<std::size_t>(event.kind));
    if (event.code != result_code::done)
    {
        ++this->codes[event.code];
    }
    if (event.kind == event_kind::request_completed)
    {
        const auto micros = static_cast<double>(event.elapsed.count());
        this->request_median(micros);
        this->request_p99(micros);
    }
    if (event.trace.sampled())
    {
        this->write_span(event);
    }
    this->write_log(now, event);
}

void telemetry::count_refused_datagram(result_code code)
{
    ++this->codes[code];
}

void telemetry::set_gauge(const std::string& name, double value)
{
    this->gauges[name] = value;
}

trace_context telemetry::sample_trace(std::uint32_t sampling_interval)
{
    if (sampling_interval == 0)
    {
        return {};
    }
    if (this->packets_until_sample > 0)
    {
        --this->packets_until_sample;
        return {};
    }
    this->packets_until_sample = sampling_interval - 1;
    return {this->random(), this->random() | 1U, this->random()};
}

std::string telemetry::prometheus() const
{
    std::ostringstream out;
    out << "# TYPE masticslip_events_total counter\n";
    for (std::size_t i = 0; i < event_kind_count; ++i)
    {
        out << "masticslip_events_total{kind=\""
            << to_string(static_cast<event_kind>(i)) << "\"} "
            << this->counts.at(i) << '\n';
    }
    out << "# TYPE masticslip_results_total counter\n";
    for (const auto& [code, count] : this->codes)
    {
        out << "masticslip_results_total{code=\"" << static_cast<unsigned>(code)
            << "\",name=\"" << to_string(code) << "\"} " << count << '\n';
    }
    const auto samples = accumulators::count(this->request_median);
    out << "# TYPE masticslip_request_microseconds summary\n";
    if (samples > 0)
    {
        out << "masticslip_request_microseconds{quantile=\"0.5\"} "
            << accumulators::p_square_quantile(this->request_median) << '\n'
            << "masticslip_request_microseconds{quantile=\"0.99\"} "
            << accumulators::p_square_quantile(this->request_p99) << '\n';
    }
    out << "masticslip_request_microseconds_count " << samples << '\n';
    for (const auto& [name, value] : this->gauges)
    {
        out << "# TYPE masticslip_" << name << " gauge\nmasticslip_" << name
            << ' ' << value << '\n';
    }
    return out.str();
}

void telemetry::write_log(time_point now, const core_event& event)
{
    const log_level level = log_level_for(event.kind);
    if (!is_log_enabled(level))
    {
        return;
    }
    if (level == log_level::info)
    {
        if (now - this->log_window_start > 1s)
        {
            this->log_window_start = now;
            this->lines_in_window = 0;
            if (this->suppressed_lines > 0)
            {
                log_line(log_level::warning, "log_lines_suppressed")
                    .field("count", this->suppressed_lines);
                this->suppressed_lines = 0;
            }
        }
        if (++this->lines_in_window > max_info_lines_per_second)
        {
            ++this->suppressed_lines;
            return;
        }
    }
    log_line line(level, to_string(event.kind));
    line.field("process", std::string_view(this->process));
    if (event.code != result_code::done)
    {
        line.field("code", static_cast<unsigned>(event.code))
            .field("result", to_string(event.code));
    }
    if (event.flow.caller != endpoint{})
    {
        line.field("caller", std::string_view(to_string(event.flow.caller)));
    }
    if (event.peer != instance_id{})
    {
        line.field("peer", std::string_view(to_string(event.peer.address())));
    }
    if (event.number != 0)
    {
        line.field("number", event.number);
    }
    if (!event.detail.empty())
    {
        line.field("detail", event.detail);
    }
}

void telemetry::write_span(const core_event& event)
{
    const std::string_view name = span_name_for(event.kind);
    if (name.empty())
    {
        return;
    }
    const std::uint64_t span = event.kind == event_kind::packet_forwarded
                                   ? event.trace.parent_span
                                   : this->random();
    const std::string trace =
        hex(event.trace.trace_high) + hex(event.trace.trace_low);
    log_line line(log_level::info, "span");
    line.field("name", name)
        .field("process", std::string_view(this->process))
        .field("trace_id", std::string_view(trace))
        .field("span_id", std::string_view(hex(span)));
    if (span != event.trace.parent_span)
    {
        line.field("parent_id", std::string_view(hex(event.trace.parent_span)));
    }
    line.field("duration_us", event.elapsed.count());
}

} // namespace masticslip
