#include "compression.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <algorithm>

namespace masticslip
{

namespace zlib = boost::beast::zlib;

namespace
{

/// Fast rather than small.
constexpr int compression_level = 1;
/// Window of 4 KB: documents repeat themselves at short distances.
constexpr int window_bits = 12;
constexpr int memory_level = 5;
constexpr std::size_t chunk_size = 16'384;

} // namespace

std::string compress(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(
        compression_level, window_bits, memory_level, zlib::Strategy::normal);
    std::string result(stream.upper_bound(text.size()), '\0');
    zlib::z_params params;
    params.next_in = text.data();
    params.avail_in = text.size();
    params.next_out = result.data();
    params.avail_out = result.size();
    boost::system::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    result.resize(params.total_out);
    return result;
}

std::optional<std::string>
decompress(std::string_view data, std::size_t limit, std::string& reason)
{
    zlib::inflate_stream stream;
    stream.reset(window_bits);
    std::string result;
    zlib::z_params params;
    params.next_in = data.data();
    params.avail_in = data.size();
    boost::system::error_code error;
    while (!error)
    {
        const std::size_t length = params.total_out;
        if (length > limit)
        {
            reason =
                "the text is longer than " + std::to_string(limit) + " bytes";
            return std::nullopt;
        }
        result.resize(length + chunk_size);
        params.next_out = result.data() + length;
        params.avail_out = chunk_size;
        stream.write(params, zlib::Flush::sync, error);
    }
    if (error != zlib::error::end_of_stream)
    {
        reason = "malformed compressed data: " + error.message();
        return std::nullopt;
    }
    if (params.total_out > limit)
    {
        reason = "the text is longer than " + std::to_string(limit) + " bytes";
        return std::nullopt;
    }
    result.resize(params.total_out);
    return result;
}

} // namespace masticslip
