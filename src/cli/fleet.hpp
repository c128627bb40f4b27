#pragma once
/// What the command line learns from running instances over HTTP.

#include "masticslip/core/types.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// One instance as the entries report it.
struct fleet_member
{
    std::string id;
    std::string name;
    std::string role;
    std::string state;
    std::string failure_domain;
    endpoint admin;
    /// Newest generation that an entry heard from it; zero if none did.
    generation number = 0;
};

/// Collects reports. Not thread-safe.
class fleet
{
public:
    explicit fleet(std::vector<endpoint> entries) : entries(std::move(entries))
    {
    }

    /// Asks the given entries, then all entries that they name. False if no
    /// entry answered.
    bool refresh();

    /// All members by id, as of the last refresh.
    [[nodiscard]] const std::map<std::string, fleet_member>& members() const
    {
        return this->known;
    }

    /// Reports of the entries that answered.
    [[nodiscard]] const std::vector<boost::json::object>& reports() const
    {
        return this->answers;
    }

    /// Present members that do not have this generation in force.
    [[nodiscard]] std::vector<fleet_member> behind(generation number) const;

    /// Hands a document to the given entries; returns how many took it.
    std::size_t hand_over(const std::string& document);

    [[nodiscard]] const std::string& last_reason() const
    {
        return this->reason;
    }

    /// Reads one resource of one instance.
    std::optional<boost::json::object>
    get(const endpoint& admin, const std::string& target);

private:
    void merge(const boost::json::object& report);

    std::vector<endpoint> entries;
    std::map<std::string, fleet_member> known;
    std::vector<boost::json::object> answers;
    std::string reason = "no entry address given (--entries)";
};

} // namespace masticslip
