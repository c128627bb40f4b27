#include "compression.hpp"

#include <zlib.h>

#include <algorithm>
#include <stdexcept>

namespace masticslip
{

namespace
{

/// Fast rather than small.
constexpr int compression_level = 1;
/// Window of 4 KB: documents repeat themselves at short distances. The sign
/// selects the format without a header.
constexpr int window_bits = -12;
constexpr int memory_level = 5;
constexpr std::size_t chunk_size = 16'384;

/// zlib takes non-const input but does not change it.
Bytef* input_of(std::string_view data)
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(data.data()));
}

/// Ends a stream at the end of its scope.
struct stream_guard
{
    z_stream& stream;
    int (*end)(z_stream*);

    ~stream_guard()
    {
        this->end(&this->stream);
    }
};

} // namespace

std::string compress(std::string_view text)
{
    z_stream stream{};
    if (deflateInit2(
            &stream, compression_level, Z_DEFLATED, window_bits, memory_level,
            Z_DEFAULT_STRATEGY) != Z_OK)
    {
        throw std::runtime_error("compression cannot be initialized");
    }
    const stream_guard guard{stream, deflateEnd};
    std::string result(deflateBound(&stream, text.size()), '\0');
    stream.next_in = input_of(text);
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef*>(result.data());
    stream.avail_out = static_cast<uInt>(result.size());
    if (deflate(&stream, Z_FINISH) != Z_STREAM_END)
    {
        throw std::runtime_error("compression did not complete");
    }
    result.resize(stream.total_out);
    return result;
}

std::optional<std::string>
decompress(std::string_view data, std::size_t limit, std::string& reason)
{
    z_stream stream{};
    if (inflateInit2(&stream, window_bits) != Z_OK)
    {
        reason = "decompression cannot be initialized";
        return std::nullopt;
    }
    const stream_guard guard{stream, inflateEnd};
    stream.next_in = input_of(data);
    stream.avail_in = static_cast<uInt>(data.size());
    std::string result;
    int status = Z_OK;
    while (status == Z_OK && stream.total_out <= limit)
    {
        const std::size_t length = stream.total_out;
        result.resize(length + chunk_size);
        stream.next_out = reinterpret_cast<Bytef*>(result.data() + length);
        stream.avail_out = static_cast<uInt>(chunk_size);
        status = inflate(&stream, Z_NO_FLUSH);
    }
    if (stream.total_out > limit)
    {
        reason = "the text is longer than " + std::to_string(limit) + " bytes";
        return std::nullopt;
    }
    if (status != Z_STREAM_END)
    {
        reason =
            "malformed compressed data: zlib status " + std::to_string(status);
        return std::nullopt;
    }
    result.resize(stream.total_out);
    return result;
}

} // namespace masticslip
