#pragma once
/// Errors of a configuration document, in the order in which they were found.

#include "masticslip/core/configuration_finding.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace masticslip::detail
{

/// Keeps the first error of each path.
class fault_list
{
public:
    /// Bounds the work for a document in which every entry is invalid.
    static constexpr std::size_t max_faults = 100;

    /// Records an error, unless its path has one or the list is full.
    void
    add(finding_kind kind,
        std::string path,
        std::string text,
        std::optional<text_place> place = std::nullopt)
    {
        const bool is_known = std::any_of(
            this->items.begin(), this->items.end(),
            [&path](const configuration_finding& item)
            { return item.path == path; });
        if (!is_known && this->items.size() < max_faults)
        {
            this->items.push_back(
                {finding_severity::error, kind, std::move(path),
                 std::move(text), "", place});
        }
    }

    [[nodiscard]] bool empty() const
    {
        return this->items.empty();
    }

    /// Moves the errors out of the list.
    std::vector<configuration_finding> take()
    {
        return std::exchange(this->items, {});
    }

private:
    std::vector<configuration_finding> items;
};

} // namespace masticslip::detail
