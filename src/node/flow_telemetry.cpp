#include "flow_telemetry.hpp"

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

bool is_regular(flow_event_kind kind)
{
    return kind == flow_event_kind::flow_placed ||
           kind == flow_event_kind::flow_opened;
}

/// True for what changes the belief of the process: always written.
bool is_belief(flow_event_kind kind)
{
    return kind >= flow_event_kind::policy_in_force;
}

std::int64_t milliseconds_of(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
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
    log_line line(log_level::info, flow_event_names.at(kind));
    if (event.flow.caller.port != 0)
    {
        line.field("flow", to_string(event.flow));
    }
    if (event.peer.value != 0)
    {
        line.field("peer", to_string(event.peer.address()));
    }
    line.field("code", to_string(event.code))
        .field("policy", event.policy_revision)
        .field("in_flight", event.load.in_flight)
        .field("open_flows", event.load.open_flows)
        .field("accepts", to_string(event.load.refusal))
        .field("cold", event.load.is_cold ? 1 : 0)
        .field("view_age_ms", milliseconds_of(event.view_age))
        .field("candidates", event.candidates)
        .field("attempts", event.attempts)
        .field("elapsed_us", event.elapsed.count());
    if (!event.detail.empty())
    {
        line.field("detail", event.detail);
    }
}

bool flow_telemetry::admits_line(time_point now, const flow_event& event)
{
    if (now - this->window_start >= line_window)
    {
        if (this->left_out != 0)
        {
            log_line(log_level::info, "lines_left_out")
                .field("count", this->left_out);
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
    if (is_regular(event.kind) && seen % regular_sample != 1)
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
