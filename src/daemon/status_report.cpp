#include "status_report.hpp"

#include <boost/json/array.hpp>

namespace masticslip
{

namespace json = boost::json;

json::object member_to_json(const member_record& record)
{
    return {
        {"id", to_string(record.id.address())},
        {"incarnation", record.incarnation_number.value},
        {"version", record.version},
        {"role", record.role == member_role::entry ? "entry" : "companion"},
        {"state", to_string(record.state)},
        {"service_id", record.service.value},
        {"admin", to_string(record.admin)},
        {"failure_domain", record.failure_domain},
        {"name", record.name}};
}

json::object config_to_json(const detail::config_controller& config)
{
    const auto& current = config.current();
    if (!current)
    {
        return {{"generation", 0}};
    }
    json::array withdrawn;
    for (const auto& domain : current->withdrawn_domains)
    {
        withdrawn.emplace_back(domain);
    }
    return {
        {"generation", current->number},
        {"change", current->change.id},
        {"preset_in_force", current->preset_in_force},
        {"withdrawn_domains", withdrawn}};
}

std::int64_t milliseconds_since(time_point then, time_point now)
{
    if (then == time_point{})
    {
        return -1;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then)
        .count();
}

} // namespace masticslip
