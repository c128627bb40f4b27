#pragma once
/// Positions of the entries of a JSON text.
///
///     scan_json(text, [](const json_place& item) { ... });
///
/// Boost.JSON reports neither the position of a value nor a repeated key.

#include "masticslip/core/configuration_finding.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace masticslip::detail
{

/// An object member, an array element or the whole document.
struct json_place
{
    /// Path such as `$.services[0].name`; valid during the call only.
    std::string_view path;
    /// Offset of the key of a member, otherwise of the value.
    std::size_t offset = 0;
    /// True if the object has an earlier member with the same key.
    bool is_repeated = false;
};

/// Calls `visit` for each entry, outer entries first, in the order of the text.
/// Precondition: Boost.JSON parses the text without an error, which also
/// bounds the depth of nesting.
void scan_json(
    std::string_view text, const std::function<void(const json_place&)>& visit);

/// Line and column of an offset. Precondition: it is within the text or at its
/// end.
text_place place_of(std::string_view text, std::size_t offset);

/// Sets the place of each finding that has none. Same precondition for the
/// text as above.
void locate_findings(
    std::string_view text, std::vector<configuration_finding>& findings);

} // namespace masticslip::detail
