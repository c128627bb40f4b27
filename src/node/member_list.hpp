#pragma once
/// Reads the store's list of companions.
///
/// Other writers may add entries. One that names a companion's address must not
/// take its place: an entry counts only under the key of the companion that it
/// names, and only one counts for each address.

#include "masticslip/flow/companion_directory.hpp"
#include "policy_source.hpp"

#include <map>
#include <string>
#include <vector>

namespace masticslip
{

/// What the list says.
struct member_list
{
    /// One record for each address.
    std::vector<companion_record> records;
    /// Entries that were left out.
    std::vector<refused_entry> refused;
};

/// Reads the values by key. Each companion writes its record under `prefix` and
/// its name. Of several records with one address the one whose name `known`
/// has for the address counts, or else the first by key: a companion that
/// answers states itself what it is. Thread-safe.
member_list read_member_list(
    const std::string& prefix,
    const std::map<std::string, std::string>& values,
    const companion_directory& known);

} // namespace masticslip
