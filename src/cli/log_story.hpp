#pragma once
/// Merges log lines of several processes into a timeline of one flow or one
/// policy.
///
///     log_story story;
///     story.add("front-1.log", text);
///     for (const auto& line : story.flow_records(id)) ...

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip
{

/// One parsed line.
struct log_record
{
    /// Time since the Unix epoch, by the clock of the process.
    std::chrono::microseconds time{};
    std::string process;
    std::map<std::string, std::string> fields;
    std::string text;

    /// Value of a field; empty if the line has none.
    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Lower bound of the clock skew between two processes.
struct clock_skew
{
    std::string sender;
    std::string receiver;
    /// The receiver's clock is at least this much behind the sender's.
    std::chrono::microseconds minimum{};
};

/// Not thread-safe.
class log_story
{
public:
    /// Parses and adds the lines of a log. Lines without a valid time are
    /// skipped and counted. The process of a line is the last word before
    /// `time=`, else the `process` field of the last `started` event, else
    /// `name`.
    void add(const std::string& name, std::string_view text);

    /// Lines about a flow, sorted by time.
    [[nodiscard]] std::vector<log_record>
    flow_records(const std::string& flow) const;

    /// Lines about a revision or version of a policy, sorted by time.
    [[nodiscard]] std::vector<log_record>
    policy_records(const std::string& number) const;

    /// Clock skews implied by messages whose receive time precedes their send
    /// time.
    [[nodiscard]] std::vector<clock_skew>
    clock_skews(const std::vector<log_record>& records) const;

    /// Number of lines that could not be parsed.
    [[nodiscard]] std::size_t skipped() const
    {
        return this->unparsed_lines;
    }

private:
    std::vector<log_record> records;
    /// Processes by the control address in their `started` event.
    std::map<std::string, std::string> process_by_address;
    std::size_t unparsed_lines = 0;
};

/// Parses `2026-12-04T01:02:03.456789`; returns a negative value if the
/// text has another form. Thread-safe.
std::chrono::microseconds parse_log_time(std::string_view text);

/// Parses the `key=value` pairs of a line. Thread-safe.
std::map<std::string, std::string> parse_log_fields(std::string_view line);

} // namespace masticslip
