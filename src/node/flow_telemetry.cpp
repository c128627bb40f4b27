#include "flow_telemetry.hpp"

#include "flow_event_text.hpp"
#include "telemetry/log.hpp"

namespace masticslip
{

namespace
{

/// Log lines that one process writes in a window at most.
constexpr std::uint32_t max_lines_per_window = 50;
constexpr std::chrono::seconds line_window{1};
/// One line for so many regular openings.
constexpr std::uint64_t regular_sample = 50;
/// An opening that takes longer is worth a line: half of the time after which
/// another companion is tried.
constexpr std::chrono::milliseconds slow_opening{50};

/// True for an opening as it should be: one of many such lines is written.
bool is_regular(const flow_event& event)
{
    const bool is_opening = event.kind == flow_event_kind::flow_placed ||
                            event.kind == flow_event_kind::flow_opened;
    return is_opening && event.attempts == 0 && !event.load.is_cold &&
           event.load.in_flight <= event.load.concurrency &&
           event.elapsed < slow_opening;
}

/// True for what changes the belief of the process: always written.
bool is_belief(flow_event_kind kind)
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
    ++this->by_kind.at(kind);
    if (event.code != result_code::done)
    {
        ++this->by_code[event.code];
    }
    if (event.kind == flow_event_kind::flow_opened && event.elapsed.count() > 0)
    {
        this->open_time.add(event.elapsed);
    }
    if (event.kind == flow_event_kind::owner_found)
    {
        this->look_up_time.add(event.elapsed);
    }
    if (!this->admits_line(now, event))
    {
        return;
    }
    this->write(to_log_text(event));
}

bool flow_telemetry::admits_line(time_point now, const flow_event& event)
{
    if (now - this->window_start >= line_window)
    {
        if (this->left_out != 0)
        {
            this->write(
                "event=lines_left_out count=" + std::to_string(this->left_out));
        }
        this->window_start = now;
        this->lines_in_window = 0;
        this->left_out = 0;
    }
    if (is_belief(event.kind))
    {
        return true;
    }
    const auto seen = this->by_kind.at(static_cast<std::size_t>(event.kind));
    if (is_regular(event) && seen % regular_sample != 1)
    {
        return false;
    }
    if (this->lines_in_window >= max_lines_per_window)
    {
        ++this->left_out;
        return false;
    }
    ++this->lines_in_window;
    return true;
}

std::string flow_telemetry::prometheus() const
{
    std::string text;
    for (std::size_t i = 0; i < this->by_kind.size(); ++i)
    {
        text += "masticslip_flow_events_total{kind=\"" +
                std::string(flow_event_names.at(i)) + "\"} " +
                std::to_string(this->by_kind.at(i)) + "\n";
    }
    for (const auto& [code, count] : this->by_code)
    {
        text += "masticslip_flow_results_total{code=\"" +
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
    this->open_time.write("masticslip_flow_open_seconds", text);
    this->look_up_time.write("masticslip_flow_look_up_seconds", text);
    return text;
}

} // namespace masticslip
