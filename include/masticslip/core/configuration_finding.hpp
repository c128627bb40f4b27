#pragma once
/// What a check of a configuration document reports.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticslip
{

enum class finding_severity : std::uint8_t
{
    error,   ///< The document is rejected.
    warning, ///< The document is accepted, but an entry does not do its work.
    change   ///< A difference from the version in force.
};

enum class finding_kind : std::uint8_t
{
    too_large,
    not_json,
    wrong_type,
    missing_key,
    unknown_key,
    out_of_range,
    invalid_value,
    duplicate,
    unknown_name,
    never_used,
    without_effect,
    limits_contradict,
    no_limit,
    no_new_flows,
    first_version,
    added,
    removed,
    changed
};

/// Number of values of finding_kind.
constexpr std::size_t finding_kind_count =
    static_cast<std::size_t>(finding_kind::changed) + 1;

/// Position in a text; both numbers start at 1. Columns count bytes.
struct text_place
{
    std::size_t line = 1;
    std::size_t column = 1;

    bool operator==(const text_place&) const = default;
};

struct configuration_finding
{
    finding_severity severity = finding_severity::error;
    finding_kind kind = finding_kind::invalid_value;
    /// Path of the entry, such as `$.services[0].name`. Of a missing or removed
    /// entry it need not exist in the document.
    std::string path;
    std::string text;
    /// For changes: what happens to open flows.
    std::string effect;
    /// Where the key of the entry, or the array element, starts. For an entry
    /// that the document lacks: the innermost object that should contain it.
    std::optional<text_place> place;

    bool operator==(const configuration_finding&) const = default;
};

/// Names as the command line prints them.
std::string_view to_string(finding_severity severity);
std::string_view to_string(finding_kind kind);

} // namespace masticslip
