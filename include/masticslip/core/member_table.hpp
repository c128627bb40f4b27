#pragma once
/// Membership table: one node's view of the other instances.
///
/// Records are merged by (incarnation, version): the larger pair wins, so
/// updates may arrive in any order and a record never reverts to an older one.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticslip
{

enum class member_role : std::uint8_t
{
    entry,
    companion
};

/// State of an instance as announced by itself or set by a watcher.
enum class member_state : std::uint8_t
{
    serving,  ///< Takes new work.
    draining, ///< Finishes work in progress, takes no new work.
    suspect,  ///< Missed heartbeats; keeps its flows, takes no new work.
    left      ///< Removed; final for this incarnation.
};

/// Returns the stable name of a state.
std::string_view to_string(member_state state);

/// Membership record of one instance.
struct member_record
{
    instance_id id;
    incarnation incarnation_number;
    /// Incremented with each change of the record within one incarnation.
    std::uint32_t version = 0;
    member_role role = member_role::companion;
    member_state state = member_state::serving;
    service_id service;
    /// HTTP address for status requests.
    endpoint admin;
    std::string failure_domain;
    std::string name;

    bool operator==(const member_record&) const = default;

    /// True if `other`, a record of the same instance, supersedes this one.
    [[nodiscard]] bool is_older_than(const member_record& other) const;
};

/// Not thread-safe.
class member_table
{
public:
    /// Merges a record; returns true if it changed the table.
    bool merge(const member_record& record);

    /// Returns the record, or null. The pointer is valid until the next merge.
    [[nodiscard]] const member_record* find(instance_id id) const;

    /// Companions of a service that have not left, in id order.
    [[nodiscard]] const std::vector<instance_id>&
    companions_of(service_id service) const;

    /// Entries that have not left, in id order.
    [[nodiscard]] const std::vector<instance_id>& entries() const;

    /// All records in id order.
    [[nodiscard]] const std::map<instance_id, member_record>& all() const
    {
        return this->records;
    }

    /// Incremented with each change of the table.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->change_count;
    }

    /// Increases when the record of an entry is added, replaced or removed.
    [[nodiscard]] std::uint64_t entries_revision() const
    {
        return this->entry_change_count;
    }

    /// Removes a record. Call only for instances that left long ago.
    void erase(instance_id id);

private:
    void index_add(const member_record& record);
    void index_remove(const member_record& record);

    std::map<instance_id, member_record> records;
    std::unordered_map<service_id, std::vector<instance_id>> by_service;
    std::vector<instance_id> entry_ids;
    std::vector<instance_id> empty_ids;
    std::uint64_t change_count = 0;
    std::uint64_t entry_change_count = 0;
};

} // namespace masticslip
