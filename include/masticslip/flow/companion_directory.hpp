#pragma once
/// Companions known to an entry: their addresses, when each last sent its load
/// and the load that it reported.

#include "masticslip/flow/flow_messages.hpp"
#include "masticslip/flow/service_count.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticslip
{

/// Registration of a companion in the store.
struct companion_record
{
    instance_id id;
    std::string name;
    std::string service;
    std::string failure_domain;
    /// Address that receives callers' packets for the upstream.
    endpoint packet_address;

    bool operator==(const companion_record&) const = default;
};

/// State that an entry keeps for one companion.
struct directory_member
{
    companion_record record;
    service_id service;
    upstream_load load;
    time_point known_since;
    /// Time of the newest load; zero if none was received.
    time_point load_received_at;
    time_point hello_sent_at;
    /// Time of the first request since its last message, and the number of
    /// requests since then.
    time_point unanswered_since;
    std::uint32_t unanswered_requests = 0;
    /// Flows placed there since the newest load.
    std::uint32_t unreported_placements = 0;
    /// The companions of its service that it has last reported.
    service_count reported_service;
    /// It has reported such a number since it became known or has returned:
    /// entries count it.
    bool is_counted = false;
    /// Order of the newest report that was accepted from its address.
    report_order newest_report;
    /// Its registration was not lost recently, according to its last report.
    bool is_registration_continuous = false;
    /// Its requests fail far more often than those of its service's others.
    bool is_outlier = false;
    /// When this entry placed a flow there although it was an outlier.
    time_point probed_at;
    /// Part of the interval of probes that its next one comes earlier.
    std::uint32_t next_probe_step = 0;
    /// See companion_report.
    std::vector<endpoint> former_targets;
    bool may_hold_other_flows = false;
    /// Position of the policy that it has last reported.
    store_position policy_position;
    /// Opening packets not answered in time since the newest load.
    std::uint32_t unanswered_openings = 0;
    /// True while the store lists it.
    bool is_listed = false;
    bool is_stopping = false;
    bool has_left = false;
    /// Time at which it reported that its upstream has left.
    time_point left_at;
    /// Has sent no load for several hello intervals; receives no new flows.
    bool is_silent = false;

    /// True if it stops after its upstream has departed. Its flows do not
    /// survive.
    [[nodiscard]] bool is_gone() const
    {
        return this->has_left && this->is_stopping;
    }
};

/// Not thread-safe. Pointers are valid until the next change.
class companion_directory
{
public:
    /// The store lists a companion. Returns true if it was unknown.
    bool on_listed(time_point now, const companion_record& record);

    /// The store no longer lists the companion.
    void on_unlisted(instance_id id);

    /// A companion sent a report. Returns true if it was unknown.
    /// Precondition: the report is not outdated.
    bool
    on_report(time_point now, instance_id id, const companion_report& report);

    /// Order of the newest report that was accepted from the address; zero if
    /// there is none. A report with a lower order is outdated: it was sent
    /// before one that was accepted, perhaps by a former process.
    [[nodiscard]] report_order newest_report(instance_id id) const;

    /// A message was sent that the companion answers immediately.
    void on_request_sent(time_point now, instance_id id);

    /// Any message was received from the companion.
    void on_message_received(instance_id id);

    /// A known companion sent a newer load.
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

    /// Removes a companion. Whether it is gone and the order of its reports
    /// stay known until it is seen again or forget_removed() is called.
    void erase(time_point now, instance_id id);

    /// True if the companion is gone, or was when it was removed.
    [[nodiscard]] bool is_gone(instance_id id) const;

    /// Forgets companions that were removed before `limit`.
    void forget_removed(time_point limit);

private:
    /// What stays known of a removed companion.
    struct removed_member
    {
        time_point removed_at;
        bool is_gone = false;
        report_order newest_report;
    };

    directory_member&
    find_or_add(time_point now, const companion_record& record, bool& is_new);

    std::map<instance_id, directory_member> members;
    std::unordered_map<service_id, std::vector<instance_id>> by_service;
    std::map<instance_id, removed_member> removed;
};

} // namespace masticslip
