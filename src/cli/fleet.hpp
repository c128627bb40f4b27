#pragma once
/// Client for the admin HTTP interfaces of running instances.

#include "masticslip/core/types.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// One instance as reported by the entries.
struct fleet_member
{
    std::string id;
    std::string name;
    std::string role;
    std::string state;
    std::string failure_domain;
    endpoint admin;
    /// Newest generation that an entry reports as in force at the instance;
    /// zero if no entry reports one.
    generation number = 0;
};

/// Collects status reports from the entries. Not thread-safe.
class fleet
{
public:
    explicit fleet(std::vector<endpoint> entries) : entries(std::move(entries))
    {
    }

    /// Queries the given entries, then all entries listed in their reports.
    /// Returns false if no entry responded.
    bool refresh();

    /// All members by id, as of the last refresh.
    [[nodiscard]] const std::map<std::string, fleet_member>& members() const
    {
        return this->known_members;
    }

    /// Status reports of the entries that responded.
    [[nodiscard]] const std::vector<boost::json::object>& reports() const
    {
        return this->status_reports;
    }

    /// Fetches `/status` or `/flows` from all companions that have not left;
    /// one that does not answer is passed over.
    std::vector<boost::json::object>
    companion_reports(const std::string& target);

    /// Members that have not left and whose generation is older than `number`.
    [[nodiscard]] std::vector<fleet_member>
    members_behind(generation number) const;

    /// Posts a document to the given entries; returns how many accepted it.
    std::size_t post_configuration(const std::string& document);

    [[nodiscard]] const std::string& last_reason() const
    {
        return this->reason;
    }

    /// Fetches one JSON resource of one instance.
    std::optional<boost::json::object>
    get(const endpoint& admin, const std::string& target);

private:
    void merge(const boost::json::object& report);

    std::vector<endpoint> entries;
    std::map<std::string, fleet_member> known_members;
    std::vector<boost::json::object> status_reports;
    std::string reason = "no entry address given (--entries)";
};

} // namespace masticslip
