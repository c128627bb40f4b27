#pragma once
/// Compares the store's chain of audit records with the generations that
/// processes remember. A chain whose newest records are gone, as after the
/// store came back from a copy, has intact links; only memory can tell.

#include "platform/change_log.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace masticslip
{

/// A change that a process remembers as having been in force.
struct remembered_change
{
    std::string process;
    generation number = 0;
    /// Empty if the process does not tell.
    std::string change_id;

    bool operator==(const remembered_change&) const = default;
};

/// A remembered change that the chain lacks, or a range of generations that
/// the chain must have had and that no process remembers.
struct lost_record
{
    generation first = 0;
    generation last = 0;
    /// Empty if not known.
    std::string change_id;
    /// The change that the chain holds under this generation; empty if the
    /// chain ends before.
    std::string stored_change_id;
    /// Names of the processes that remember the change, sorted.
    std::vector<std::string> processes;

    bool operator==(const lost_record&) const = default;
};

/// Returns what a process remembers by its status report, by generation.
/// Values that are missing or of another type are passed over. Thread-safe.
std::vector<remembered_change> read_memory(const boost::json::object& report);

/// Returns what the chain lacks, by generation. Thread-safe. Precondition: the
/// chain is verified, so that its record n is generation n.
std::vector<lost_record> find_lost_records(
    const std::vector<audit_record>& chain,
    const std::vector<remembered_change>& memory);

/// Describes a lost record in one line. Thread-safe.
std::string describe(const lost_record& record);

} // namespace masticslip
