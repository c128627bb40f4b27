#pragma once
/// Companions as an entry knows them: where they are, when they were last
/// heard and how loaded they said they are.

#include "masticslip/flow/flow_messages.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticslip
{

/// What the store holds of a companion.
struct companion_record
{
    instance_id id;
    std::string name;
    std::string service;
    std::string failure_domain;
    /// Address that takes callers' packets for the upstream.
    endpoint packet_address;

    bool operator==(const companion_record&) const = default;
};

/// One companion in the view of an entry.
struct directory_member
{
    companion_record record;
    service_id service;
    upstream_load load;
    time_point known_since;
    /// Time of the newest load; zero if none has come.
    time_point heard;
    time_point greeted;
    /// First question since it was last heard, and how many there were.
    time_point asked_since;
    std::uint32_t unanswered_questions = 0;
    /// Flows placed there since the newest report.
    std::uint32_t own_placements = 0;
    /// Opening packets in a row that were not answered in time.
    std::uint32_t unanswered = 0;
    /// True while the store lists it.
    bool is_listed = false;
    bool is_stopping = false;
    bool has_left = false;
    bool is_silent = false;
};

/// Not thread-safe. Pointers are valid until the next change.
class companion_directory
{
public:
    /// The store lists a companion. True if it was unknown.
    bool on_listed(time_point now, const companion_record& record);

    /// The store lists it no longer.
    void on_unlisted(instance_id id);

    /// A companion spoke for itself. True if it was unknown.
    bool
    on_report(time_point now, instance_id id, const companion_report& report);

    /// Something was sent to a companion that it answers at once.
    void on_asked(time_point now, instance_id id);

    /// A companion was heard, whatever it said.
    void on_heard(instance_id id);

    /// A newer load of a known companion.
    void on_load(time_point now, instance_id id, const upstream_load& load);

    [[nodiscard]] directory_member* find(instance_id id);
    [[nodiscard]] const directory_member* find(instance_id id) const;

    /// Companions of a service, in id order.
    [[nodiscard]] const std::vector<instance_id>&
    of_service(service_id service) const;

    /// All members by id.
    [[nodiscard]] std::map<instance_id, directory_member>& all()
    {
        return this->members;
    }

    [[nodiscard]] const std::map<instance_id, directory_member>& all() const
    {
        return this->members;
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->members.size();
    }

    void erase(instance_id id);

private:
    directory_member&
    member(time_point now, const companion_record& record, bool& is_new);

    std::map<instance_id, directory_member> members;
    std::unordered_map<service_id, std::vector<instance_id>> by_service;
};

} // namespace masticslip
