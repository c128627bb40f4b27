#include "masticslip/flow/policy.hpp"

namespace masticslip
{

policy::policy(std::uint64_t revision, configuration value)
    : number(revision), document(std::move(value))
{
    this->routes.reserve(this->document.routes.size());
    for (std::uint32_t i = 0; i < this->document.routes.size(); ++i)
    {
        this->routes.emplace(this->document.routes[i].address, i);
    }
}

const route_definition* policy::find_route(const endpoint& target) const
{
    const auto found = this->routes.find(target);
    return found == this->routes.end() ? nullptr
                                       : &this->document.routes[found->second];
}

} // namespace masticslip
