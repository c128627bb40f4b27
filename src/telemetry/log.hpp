#pragma once
/// Structured logging: one line of key=value pairs for each event.
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

/// Writes log lines at or above a level to a stream. Call once.
void initialize_log(log_level threshold, std::ostream& target = std::clog);

/// Writes log lines at or above a level to a file descriptor without blocking.
/// Lines are dropped and counted while the buffer is full because the reader is
/// slow. Call once.
void initialize_bounded_log(log_level threshold, int descriptor);

/// Number of lines dropped by the bounded log so far.
std::uint64_t dropped_log_lines();

/// True if lines of this level are written. Thread-safe.
bool is_log_enabled(log_level level);

/// Stores the level with this name in `level`; returns false if there is none.
bool parse_log_level(std::string_view text, log_level& level);

/// Appends ` key=value` to the fields of a line. The value is quoted if it is
/// empty or contains a space, `"`, `=` or a line break. Thread-safe.
void append_log_field(
    std::string& text, std::string_view key, std::string_view value);

/// Writes a line of formatted fields. Thread-safe.
void write_log_text(log_level level, const std::string& text);

/// Collects the fields of one line and writes it on destruction. Different
/// lines may be written by different threads.
class log_line
{
public:
    log_line(log_level level, std::string_view event);
    ~log_line();

    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    /// Adds a text field, quoted as by `append_log_field`.
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
