#include "masticslip/flow/policy.hpp"

#include <xxhash.h>

namespace masticslip
{

namespace
{

std::uint64_t digest_of(const std::set<std::string>& domains)
{
    if (domains.empty())
    {
        return 0;
    }
    std::string text;
    for (const std::string& domain : domains)
    {
        text += domain;
        text += '\0';
    }
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

policy::policy(store_position position, configuration value)
    : policy(position, std::move(value), position.era, {})
{
}

policy::policy(
    store_position position,
    configuration value,
    std::uint64_t configuration_era,
    carried_withdrawals carried)
    : contents(std::move(value)), carried_domains(std::move(carried))
{
    const std::string text = serialize_configuration(this->contents);
    this->own_mark = {
        position, configuration_era, this->contents.number,
        XXH3_64bits(text.data(), text.size()),
        digest_of(this->carried_domains.domains)};
    this->routes.reserve(this->contents.routes.size());
    for (std::uint32_t i = 0; i < this->contents.routes.size(); ++i)
    {
        this->routes.emplace(this->contents.routes[i].address, i);
    }
}

policy::policy(
    const policy& other,
    store_position position,
    std::uint64_t configuration_era)
    : policy(other)
{
    this->own_mark.position = position;
    this->own_mark.configuration_era = configuration_era;
}

const route_definition* policy::find_route(const endpoint& target) const
{
    const auto found = this->routes.find(target);
    return found == this->routes.end() ? nullptr
                                       : &this->contents.routes[found->second];
}

} // namespace masticslip
