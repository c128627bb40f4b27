#pragma once
/// Structured logs: one line of key=value pairs for each event.
///
///     log_line(log_level::info, "drain_started").field("role", "entry");

#include <boost/log/trivial.hpp>

#include <concepts>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>

namespace masticslip
{

using log_level = boost::log::trivial::severity_level;

/// Sends log lines at or above a level to a stream. Call once.
void initialize_log(log_level threshold, std::ostream& target = std::clog);

/// Sends log lines at or above a level to a descriptor without ever blocking.
/// Lines that a slow reader leaves no room for are counted. Call once.
void initialize_bounded_log(log_level threshold, int descriptor);

/// Lines that the bounded log has left out so far.
std::uint64_t lost_log_lines();

/// True if lines of this level are written. Thread-safe.
bool is_log_enabled(log_level level);

/// Returns the level with this name; false if there is none.
bool parse_log_level(std::string_view text, log_level& level);

/// Appends ` key=value` to the fields of a line; the value is quoted if it
/// holds blanks or quotes. Thread-safe.
void append_log_field(
    std::string& text, std::string_view key, std::string_view value);

/// Writes a line whose fields are complete. Thread-safe.
void write_log_text(log_level level, const std::string& text);

/// Collects the fields of one line and writes it when destroyed.
/// Thread-safe between lines.
class log_line
{
public:
    log_line(log_level level, std::string_view event);
    ~log_line();

    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    /// Adds a text field; it is quoted if it holds blanks or quotes.
    log_line& field(std::string_view key, std::string_view value);

    log_line& field(std::string_view key, const char* value)
    {
        return this->field(key, std::string_view(value));
    }

    template <std::integral Number>
    log_line& field(std::string_view key, Number value)
    {
        return this->field(key, std::string_view(std::to_string(value)));
    }

private:
    log_level level;
    std::string text;
};

} // namespace masticslip
