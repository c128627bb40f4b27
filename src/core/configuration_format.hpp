#pragma once
/// What reading and writing of configurations share.

#include <array>
#include <cstdint>
#include <string_view>

namespace masticslip::detail
{

/// Version of the document's layout.
constexpr std::uint64_t schema_version = 1;

/// Names of request_kind in the order of its values.
constexpr std::array<std::string_view, 3> request_kind_names{
    "safe", "unsafe", "upload"};

} // namespace masticslip::detail
