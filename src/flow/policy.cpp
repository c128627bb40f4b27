#include "masticslip/flow/policy.hpp"

#include <xxhash.h>

namespace masticslip
{

policy::policy(std::uint64_t revision, configuration value)
    : revision_number(revision), contents(std::move(value))
{
    const std::string text = serialize_configuration(this->contents);
    this->contents_digest = XXH3_64bits(text.data(), text.size());
    this->routes.reserve(this->contents.routes.size());
    for (std::uint32_t i = 0; i < this->contents.routes.size(); ++i)
    {
        this->routes.emplace(this->contents.routes[i].address, i);
    }
}

policy::policy(const policy& other, std::uint64_t revision) : policy(other)
{
    this->revision_number = revision;
}

const route_definition* policy::find_route(const endpoint& target) const
{
    const auto found = this->routes.find(target);
    return found == this->routes.end() ? nullptr
                                       : &this->contents.routes[found->second];
}

} // namespace masticslip
