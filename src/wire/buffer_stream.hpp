#pragma once
/// Stream buffers over fixed memory, with which cereal archives read and write
/// datagrams without allocation.

#include "masticslip/core/messages.hpp"

#include <span>
#include <streambuf>

namespace masticslip::detail
{

/// Writes to a fixed buffer. A write past its end is truncated; cereal then
/// throws.
class write_buffer final : public std::streambuf
{
public:
    void reset(std::span<std::uint8_t> target)
    {
        char* begin = reinterpret_cast<char*>(target.data());
        this->setp(begin, begin + target.size());
    }

    [[nodiscard]] std::size_t written() const
    {
        return static_cast<std::size_t>(this->pptr() - this->pbase());
    }
};

/// Reads from a fixed buffer and can return views of it.
class read_buffer final : public std::streambuf
{
public:
    void reset(byte_view source)
    {
        char* begin =
            const_cast<char*>(reinterpret_cast<const char*>(source.data()));
        this->setg(begin, begin, begin + source.size());
    }

    [[nodiscard]] std::size_t remaining() const
    {
        return static_cast<std::size_t>(this->egptr() - this->gptr());
    }

    /// Consumes and returns the next `size` bytes, without copying.
    /// Precondition: size <= remaining().
    byte_view take(std::size_t size)
    {
        const auto* begin = reinterpret_cast<std::uint8_t*>(this->gptr());
        this->setg(this->eback(), this->gptr() + size, this->egptr());
        return {begin, size};
    }
};

} // namespace masticslip::detail
