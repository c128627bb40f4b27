#include "masticslip/flow/former_services.hpp"

namespace masticslip
{

void former_services::record(const policy& previous, const policy& current)
{
    for (const route_definition& route : previous.value().routes)
    {
        const route_definition* now = current.find_route(route.address);
        if (now != nullptr && now->service == route.service)
        {
            continue;
        }
        if (!this->contains(route.address) &&
            this->by_target.size() >= max_routes)
        {
            this->has_excess_routes = true;
            continue;
        }
        // One more than the maximum shows that services are missing.
        std::set<service_id>& services = this->by_target[route.address];
        if (services.size() <= max_services)
        {
            services.insert(make_service_id(route.service));
        }
    }
}

const std::set<service_id>& former_services::of(const endpoint& target) const
{
    static const std::set<service_id> none;
    const auto found = this->by_target.find(target);
    return found == this->by_target.end() ? none : found->second;
}

bool former_services::is_complete_for(const endpoint& target) const
{
    const auto found = this->by_target.find(target);
    return found == this->by_target.end()
               ? !this->has_excess_routes
               : found->second.size() <= max_services;
}

} // namespace masticslip
