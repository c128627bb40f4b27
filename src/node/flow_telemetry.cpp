#include "flow_telemetry.hpp"

#include "flow_event_text.hpp"
#include "telemetry/log.hpp"

namespace masticslip
{

namespace
{

/// Most event lines that one process logs in a window.
constexpr std::uint32_t max_log_lines_per_window = 50;
constexpr std::chrono::seconds log_rate_window{1};
/// One of this many routine openings is logged.
constexpr std::uint64_t routine_sample_interval = 50;
/// Openings that take at least this long are not sampled: all are logged,
/// within the rate limit. Half of the timeout after which another companion is
/// tried.
constexpr std::chrono::milliseconds slow_opening_threshold{50};

/// True for a normal opening, whose log lines are sampled.
bool is_routine_opening(const flow_event& event)
{
    const bool is_opening = event.kind == flow_event_kind::flow_placed ||
                            event.kind == flow_event_kind::flow_opened;
    return is_opening && event.attempts == 0 && !event.load.is_cold &&
           event.load.in_flight <= event.load.concurrency &&
           event.elapsed < slow_opening_threshold;
}

/// True for changes of the process's state, such as its policy or companions;
/// they are always logged.
bool is_state_change(flow_event_kind kind)
{
    return kind >= flow_event_kind::policy_in_force;
}

} // namespace

void latency_histogram::add(duration value)
{
    ++this->total;
    this->sum += value.count();
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        if (value.count() <= bounds.at(i))
        {
            ++this->counts.at(i);
        }
    }
}

void latency_histogram::write(const std::string& name, std::string& text) const
{
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        text += name + "_bucket{le=\"" +
                std::to_string(static_cast<double>(bounds.at(i)) / 1e6) +
                "\"} " + std::to_string(this->counts.at(i)) + "\n";
    }
    text += name + "_bucket{le=\"+Inf\"} " + std::to_string(this->total) + "\n";
    text += name + "_sum " +
            std::to_string(static_cast<double>(this->sum) / 1e6) + "\n";
    text += name + "_count " + std::to_string(this->total) + "\n";
}

flow_telemetry::flow_telemetry()
    : write([](const std::string& text)
            { write_log_text(log_level::info, text); })
{
}

void flow_telemetry::on_event(time_point now, const flow_event& event)
{
    const auto kind = static_cast<std::size_t>(event.kind);
    ++this->event_counts.at(kind);
    if (event.code != result_code::done)
    {
        ++this->result_counts[event.code];
    }
    if (event.kind == flow_event_kind::flow_opened && event.elapsed.count() > 0)
    {
        this->open_latency.add(event.elapsed);
    }
    if (event.kind == flow_event_kind::flow_reset)
    {
        ++this->reset_counts[event.code];
    }
    if (event.kind == flow_event_kind::owner_found)
    {
        this->lookup_latency.add(event.elapsed);
    }
    if (!this->should_log(now, event))
    {
        return;
    }
    this->write(to_log_text(event));
}

bool flow_telemetry::should_log(time_point now, const flow_event& event)
{
    if (now - this->window_start >= log_rate_window)
    {
        if (this->suppressed_lines != 0)
        {
            this->write(
                "event=lines_left_out count=" +
                std::to_string(this->suppressed_lines));
        }
        this->window_start = now;
        this->lines_in_window = 0;
        this->suppressed_lines = 0;
    }
    if (is_state_change(event.kind))
    {
        return true;
    }
    const auto seen =
        this->event_counts.at(static_cast<std::size_t>(event.kind));
    if (is_routine_opening(event) && seen % routine_sample_interval != 1)
    {
        return false;
    }
    if (this->lines_in_window >= max_log_lines_per_window)
    {
        ++this->suppressed_lines;
        return false;
    }
    ++this->lines_in_window;
    return true;
}

std::string flow_telemetry::prometheus() const
{
    std::string text;
    for (std::size_t i = 0; i < this->event_counts.size(); ++i)
    {
        text += "masticslip_flow_events_total{kind=\"" +
                std::string(flow_event_names.at(i)) + "\"} " +
                std::to_string(this->event_counts.at(i)) + "\n";
    }
    for (const auto& [code, count] : this->result_counts)
    {
        text += "masticslip_flow_results_total{code=\"" +
                std::string(to_string(code)) + "\"} " + std::to_string(count) +
                "\n";
    }
    for (const auto& [code, count] : this->reset_counts)
    {
        text += "masticslip_flow_resets_total{code=\"" +
                std::string(to_string(code)) + "\"} " + std::to_string(count) +
                "\n";
    }
    for (const auto& [name, value] : this->counters)
    {
        text += "masticslip_" + name + " " + std::to_string(value) + "\n";
    }
    for (const auto& [name, value] : this->gauges)
    {
        text += "masticslip_" + name + " " + std::to_string(value) + "\n";
    }
    this->open_latency.write("masticslip_flow_open_seconds", text);
    this->lookup_latency.write("masticslip_flow_look_up_seconds", text);
    return text;
}

} // namespace masticslip
