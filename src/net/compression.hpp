#pragma once
/// Compression of documents that are sent between instances.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace masticslip
{

/// Returns the text in the "deflate" format without a header (RFC 1951). Needs
/// about 40 KB of memory while it runs. Thread-safe.
std::string compress(std::string_view text);

/// Reverses compress(). Returns nullopt and a reason if the data is malformed
/// or the text is longer than `limit` bytes. Thread-safe.
std::optional<std::string>
decompress(std::string_view data, std::size_t limit, std::string& reason);

} // namespace masticslip
