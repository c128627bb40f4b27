#pragma once
/// Output that never blocks: lines that do not fit are left out and counted.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticslip
{

/// Writes lines to a descriptor. Not thread-safe.
class bounded_output
{
public:
    /// `capacity` is the most bytes that wait for a slow reader. The
    /// descriptor is set to non-blocking and stays open.
    bounded_output(int descriptor, std::size_t capacity);

    /// Writes a line, without its end. A line that does not fit is left out;
    /// the next one that fits is preceded by a line that counts them.
    void write(std::string_view line);

    /// Lines left out so far.
    [[nodiscard]] std::uint64_t lost() const
    {
        return this->lost_lines;
    }

private:
    void flush();

    int descriptor;
    std::size_t capacity;
    std::string waiting;
    std::uint64_t lost_lines = 0;
    std::uint64_t unreported = 0;
};

} // namespace masticslip
