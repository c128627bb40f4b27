#pragma once
/// Membership: what one node knows of the other instances.
///
/// Records merge by (incarnation, version): the larger pair wins, so the
/// order in which news arrive does not matter and a record never goes back.

#include "masticslip/core/types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticslip
{

/// Role of an instance.
enum class member_role : std::uint8_t
{
    entry,
    companion
};

/// Condition of an instance as announced by itself or found by a watcher.
enum class member_state : std::uint8_t
{
    serving,  ///< Takes new work.
    draining, ///< Finishes work in progress, takes no new work.
    suspect,  ///< Missed heartbeats; keeps its flows, takes no new work.
    left      ///< Gone for this incarnation.
};

/// Returns the stable name of a state.
std::string_view to_string(member_state state);

/// One instance as others know it.
struct member_record
{
    instance_id id;
    incarnation life;
    /// Raised with each change of state within one incarnation.
    std::uint32_t version = 0;
    member_role role = member_role::companion;
    member_state state = member_state::serving;
    service_id service;
    /// HTTP address for status requests.
    endpoint admin;
    std::string failure_domain;
    std::string name;

    bool operator==(const member_record&) const = default;

    /// True if `other` is newer knowledge about the same instance.
    [[nodiscard]] bool is_older_than(const member_record& other) const;
};

/// The table of one node. Not thread-safe.
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

    /// Raised by one with each change.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->change_count;
    }

    /// Raised by one with each change of the set of entries.
    [[nodiscard]] std::uint64_t entries_revision() const
    {
        return this->entry_change_count;
    }

    /// Forgets a record. Call only for instances that left long ago.
    void erase(instance_id id);

private:
    void index_add(const member_record& record);
    void index_remove(const member_record& record);

    std::map<instance_id, member_record> records;
    std::unordered_map<service_id, std::vector<instance_id>> by_service;
    std::vector<instance_id> entry_ids;
    std::vector<instance_id> no_ids;
    std::uint64_t change_count = 0;
    std::uint64_t entry_change_count = 0;
};

} // namespace masticslip
