#include "log_story.hpp"

#include <algorithm>
#include <cstdio>

namespace masticslip
{

namespace
{

constexpr std::string_view time_mark = "time=";
/// Steps that a peer handles after they were sent.
constexpr std::string_view sent_event = "flow_placed";
constexpr std::string_view handled_events[] = {"flow_opened", "flow_refused"};

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

/// Last word of the text before the time; collectors put the machine there.
std::string last_word(std::string_view text)
{
    const std::string trimmed = trim(text);
    const auto blank = trimmed.find_last_of(" \t");
    return blank == std::string::npos ? trimmed : trimmed.substr(blank + 1);
}

std::vector<log_record> in_order(std::vector<log_record> records)
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
    constexpr int parts = 7;
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int micros = 0;
    const std::string copy(text);
    const int read = std::sscanf(
        copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%6d", &year, &month, &day, &hour,
        &minute, &second, &micros);
    if (read != parts)
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
    std::size_t at = 0;
    while (at < line.size())
    {
        const auto mark = line.find('=', at);
        if (mark == std::string_view::npos)
        {
            break;
        }
        const std::string key = trim(line.substr(at, mark - at));
        at = mark + 1;
        std::string value;
        if (at < line.size() && line[at] == '"')
        {
            for (++at; at < line.size() && line[at] != '"'; ++at)
            {
                at += line[at] == '\\' ? 1 : 0;
                value += at < line.size() ? line[at] : ' ';
            }
            ++at;
        }
        else
        {
            const auto end = std::min(line.find(' ', at), line.size());
            value = std::string(line.substr(at, end - at));
            at = end;
        }
        result[key] = value;
    }
    return result;
}

void log_story::add(const std::string& name, std::string_view text)
{
    std::string current = name;
    while (!text.empty())
    {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto mark = line.find(time_mark);
        if (mark == std::string_view::npos)
        {
            this->unreadable += trim(line).empty() ? 0 : 1;
            continue;
        }
        log_record record;
        record.fields = parse_log_fields(line.substr(mark));
        record.time = parse_log_time(record.field("time"));
        if (record.time.count() < 0)
        {
            ++this->unreadable;
            continue;
        }
        const std::string prefix = last_word(line.substr(0, mark));
        if (record.field("event") == "started")
        {
            current = record.field("process");
        }
        record.process = prefix.empty() ? current : prefix;
        if (record.field("event") == "started")
        {
            this->by_address[record.field("control")] = record.process;
        }
        record.text = std::string(line.substr(mark));
        this->records.push_back(std::move(record));
    }
}

std::vector<log_record> log_story::of_flow(const std::string& flow) const
{
    std::vector<log_record> result;
    for (const auto& record : this->records)
    {
        if (record.field("flow") == flow)
        {
            result.push_back(record);
        }
    }
    return in_order(std::move(result));
}

std::vector<log_record> log_story::of_policy(const std::string& number) const
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
    return in_order(std::move(result));
}

std::vector<clock_difference>
log_story::clock_differences(const std::vector<log_record>& items) const
{
    std::vector<clock_difference> result;
    for (const auto& sent : items)
    {
        const auto peer = this->by_address.find(sent.field("peer"));
        if (sent.field("event") != sent_event || peer == this->by_address.end())
        {
            continue;
        }
        for (const auto& handled : items)
        {
            const std::string event = handled.field("event");
            const bool is_step =
                std::find(
                    std::begin(handled_events), std::end(handled_events),
                    event) != std::end(handled_events);
            if (is_step && handled.process == peer->second &&
                handled.time < sent.time)
            {
                result.push_back(
                    {sent.process, handled.process, sent.time - handled.time});
            }
        }
    }
    return result;
}

} // namespace masticslip
