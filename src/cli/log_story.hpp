#pragma once
/// Reads log lines of several processes and tells the story of one flow or one
/// policy in order of time.
///
///     log_story story;
///     story.add("front-1.log", text);
///     for (const auto& line : story.of_flow(id)) ...

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
    /// Since the Unix epoch, on the clock of the process.
    std::chrono::microseconds time{};
    std::string process;
    std::map<std::string, std::string> fields;
    std::string text;

    /// Value of a field; empty if the line has none.
    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Clocks of two processes that can be told to differ.
struct clock_difference
{
    std::string sender;
    std::string receiver;
    /// The receiver's clock is at least this much behind the sender's.
    std::chrono::microseconds at_least{};
};

/// Not thread-safe.
class log_story
{
public:
    /// Adds the lines of a text. Lines without a time are counted and left
    /// out. The process is the text before `time=`, else the `process` of the
    /// last start, else `name`.
    void add(const std::string& name, std::string_view text);

    /// Lines that name a flow, in order of time.
    [[nodiscard]] std::vector<log_record>
    of_flow(const std::string& flow) const;

    /// Lines about a policy's revision or version, in order of time.
    [[nodiscard]] std::vector<log_record>
    of_policy(const std::string& number) const;

    /// Steps that were handled before they were sent, by the clocks.
    [[nodiscard]] std::vector<clock_difference>
    clock_differences(const std::vector<log_record>& records) const;

    /// Lines that could not be read.
    [[nodiscard]] std::size_t skipped() const
    {
        return this->unreadable;
    }

private:
    std::vector<log_record> records;
    /// Processes by the control address that they named at their start.
    std::map<std::string, std::string> by_address;
    std::size_t unreadable = 0;
};

/// Parses `2026-12-04T01:02:03.456789`; a negative value if it has another
/// form. Thread-safe.
std::chrono::microseconds parse_log_time(std::string_view text);

/// Parses the `key=value` pairs of a line. Thread-safe.
std::map<std::string, std::string> parse_log_fields(std::string_view line);

} // namespace masticslip
