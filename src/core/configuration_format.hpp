#pragma once
/// Constants shared by the configuration reader and writer.

#include <array>
#include <cstdint>
#include <string_view>

namespace masticslip::detail
{

/// Schema version of the document.
constexpr std::uint64_t schema_version = 1;

/// Names of request_kind in the order of its values.
constexpr std::array<std::string_view, 4> request_kind_names{
    "safe", "unsafe", "upload", "download"};

} // namespace masticslip::detail
