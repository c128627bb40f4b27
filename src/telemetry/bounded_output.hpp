#pragma once
/// Non-blocking output with a bounded buffer. Lines that do not fit are dropped
/// and counted.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticslip
{

/// Writes lines to a file descriptor. Not thread-safe.
class bounded_output
{
public:
    /// Buffers at most `capacity` bytes for a slow reader. The descriptor is
    /// set to non-blocking mode and is not closed.
    bounded_output(int descriptor, std::size_t capacity);

    /// Writes a line and a line break. A line that does not fit is dropped;
    /// the next line that fits is preceded by a line with the number of dropped
    /// lines.
    void write(std::string_view line);

    /// Number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped_lines() const
    {
        return this->dropped;
    }

private:
    void flush();

    int descriptor;
    std::size_t capacity;
    std::string buffer;
    std::uint64_t dropped = 0;
    std::uint64_t unreported_drops = 0;
};

} // namespace masticslip
