#include "log_story.hpp"

#include <algorithm>
#include <cstdio>

namespace masticslip
{

namespace
{

constexpr std::string_view time_key = "time=";
/// An entry logs `flow_placed` when it sends an opening packet to a companion;
/// the companion then logs one of the receive events (entries log `flow_opened`
/// as well).
constexpr std::string_view send_event = "flow_placed";
constexpr std::string_view receive_events[] = {"flow_opened", "flow_refused"};

std::string trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    const auto last = text.find_last_not_of(" \t");
    return std::string(text.substr(first, last - first + 1));
}

/// Last word of the text before `time=`, where log collectors put the host
/// name.
std::string last_word(std::string_view text)
{
    const std::string trimmed = trim(text);
    const auto blank = trimmed.find_last_of(" \t");
    return blank == std::string::npos ? trimmed : trimmed.substr(blank + 1);
}

std::vector<log_record> sorted_by_time(std::vector<log_record> records)
{
    std::stable_sort(
        records.begin(), records.end(),
        [](const auto& a, const auto& b) { return a.time < b.time; });
    return records;
}

} // namespace

std::string log_record::field(const std::string& name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
}

std::chrono::microseconds parse_log_time(std::string_view text)
{
    constexpr int field_count = 7;
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int micros = 0;
    const std::string copy(text);
    const int parsed = std::sscanf(
        copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%6d", &year, &month, &day, &hour,
        &minute, &second, &micros);
    if (parsed != field_count)
    {
        return std::chrono::microseconds(-1);
    }
    const std::chrono::sys_days date{
        std::chrono::year(year) / std::chrono::month(month) /
        std::chrono::day(day)};
    return std::chrono::duration_cast<std::chrono::microseconds>(
               date.time_since_epoch()) +
           std::chrono::hours(hour) + std::chrono::minutes(minute) +
           std::chrono::seconds(second) + std::chrono::microseconds(micros);
}

std::map<std::string, std::string> parse_log_fields(std::string_view line)
{
    std::map<std::string, std::string> result;
    std::size_t position = 0;
    while (position < line.size())
    {
        const auto separator = line.find('=', position);
        if (separator == std::string_view::npos)
        {
            break;
        }
        const std::string key =
            trim(line.substr(position, separator - position));
        position = separator + 1;
        std::string value;
        if (position < line.size() && line[position] == '"')
        {
            for (++position; position < line.size() && line[position] != '"';
                 ++position)
            {
                position += line[position] == '\\' ? 1 : 0;
                value += position < line.size() ? line[position] : ' ';
            }
            ++position;
        }
        else
        {
            const auto end = std::min(line.find(' ', position), line.size());
            value = std::string(line.substr(position, end - position));
            position = end;
        }
        result[key] = value;
    }
    return result;
}

void log_story::add(const std::string& name, std::string_view text)
{
    std::string current_process = name;
    while (!text.empty())
    {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto time_start = line.find(time_key);
        if (time_start == std::string_view::npos)
        {
            this->unparsed_lines += trim(line).empty() ? 0 : 1;
            continue;
        }
        log_record record;
        record.fields = parse_log_fields(line.substr(time_start));
        record.time = parse_log_time(record.field("time"));
        if (record.time.count() < 0)
        {
            ++this->unparsed_lines;
            continue;
        }
        const std::string prefix = last_word(line.substr(0, time_start));
        if (record.field("event") == "started")
        {
            current_process = record.field("process");
        }
        record.process = prefix.empty() ? current_process : prefix;
        if (record.field("event") == "started")
        {
            this->process_by_address[record.field("control")] = record.process;
        }
        record.text = std::string(line.substr(time_start));
        this->records.push_back(std::move(record));
    }
}

std::vector<log_record> log_story::flow_records(const std::string& flow) const
{
    std::vector<log_record> result;
    for (const auto& record : this->records)
    {
        if (record.field("flow") == flow)
        {
            result.push_back(record);
        }
    }
    return sorted_by_time(std::move(result));
}

std::vector<log_record>
log_story::policy_records(const std::string& number) const
{
    std::vector<log_record> result;
    std::string revision = number;
    for (const auto& record : this->records)
    {
        if (record.field("event") == "policy_read" &&
            record.field("version") == number)
        {
            revision = record.field("revision");
        }
    }
    for (const auto& record : this->records)
    {
        const std::string event = record.field("event");
        const bool is_read =
            event == "policy_read" && record.field("revision") == revision;
        const bool is_applied =
            event == "policy_in_force" && record.field("policy") == revision;
        if (is_read || is_applied)
        {
            result.push_back(record);
        }
    }
    return sorted_by_time(std::move(result));
}

std::vector<clock_skew>
log_story::clock_skews(const std::vector<log_record>& items) const
{
    std::vector<clock_skew> result;
    for (const auto& send : items)
    {
        const auto peer = this->process_by_address.find(send.field("peer"));
        if (send.field("event") != send_event ||
            peer == this->process_by_address.end())
        {
            continue;
        }
        for (const auto& receive : items)
        {
            const std::string event = receive.field("event");
            const bool is_receive =
                std::find(
                    std::begin(receive_events), std::end(receive_events),
                    event) != std::end(receive_events);
            if (is_receive && receive.process == peer->second &&
                receive.time < send.time)
            {
                result.push_back(
                    {send.process, receive.process, send.time - receive.time});
            }
        }
    }
    return result;
}

} // namespace masticslip
