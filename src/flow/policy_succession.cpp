#include "masticslip/flow/policy_succession.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// True if the configuration of `first` is newer than that of `second`.
bool has_newer_configuration(
    const policy_mark& first, const policy_mark& second)
{
    const bool is_same_history =
        first.configuration_era == second.configuration_era &&
        first.position.era == second.position.era;
    if (is_same_history && first.configuration_era == first.position.era)
    {
        return first.position > second.position;
    }
    return first.version != second.version
               ? first.version > second.version
               : first.configuration_era > second.configuration_era;
}

/// Withdrawn domains that the store held at the position of the policy.
std::set<std::string> stored_withdrawals(const policy& value)
{
    std::set<std::string> result;
    for (const std::string& domain : value.value().withdrawn_domains)
    {
        if (!value.carried().domains.contains(domain))
        {
            result.insert(domain);
        }
    }
    return result;
}

/// A configuration with exactly these withdrawn domains, in canonical order.
configuration
with_withdrawals(configuration value, const std::set<std::string>& domains)
{
    value.withdrawn_domains.assign(domains.begin(), domains.end());
    for (const std::string& domain : domains)
    {
        const auto end = value.failure_domains.end();
        if (std::find(value.failure_domains.begin(), end, domain) == end)
        {
            value.failure_domains.push_back(domain);
        }
    }
    std::sort(value.failure_domains.begin(), value.failure_domains.end());
    return value;
}

} // namespace

policy_succession::policy_succession() : in_force(std::make_shared<policy>())
{
}

offer_result policy_succession::offer(
    time_point now,
    const std::shared_ptr<const policy>& offered,
    instance_id source)
{
    const offer_result result = this->merge(now, offered);
    if (result.contents_changed)
    {
        this->contents_applied_at = now;
        this->contents_source = source;
    }
    return result;
}

offer_result policy_succession::merge(
    time_point now, const std::shared_ptr<const policy>& offered)
{
    if (!offered->is_known())
    {
        return {};
    }
    this->enter_era(now, offered->position().era);
    if (offered->mark().carried_digest != 0)
    {
        this->merged_carried.insert(offered->mark().carried_digest);
    }
    const std::shared_ptr<const policy> previous = this->in_force;
    if (offered->position().era == this->newest_era)
    {
        this->confirmed_domains.merge(stored_withdrawals(*offered));
    }
    if (!previous->is_known())
    {
        this->in_force = offered;
        this->expire(now);
        return {true, false};
    }
    const bool is_newer = offered->position() > previous->position();
    const policy& newer = is_newer ? *offered : *previous;
    const policy& older = is_newer ? *previous : *offered;
    const bool takes_configuration =
        has_newer_configuration(offered->mark(), previous->mark());
    const policy& source = takes_configuration ? *offered : *previous;
    carried_withdrawals carried = this->merge_carried(now, older, newer);
    if (!is_newer && !takes_configuration && carried == previous->carried())
    {
        return {};
    }
    const bool is_plain =
        is_newer && takes_configuration && carried == offered->carried();
    if (is_plain)
    {
        this->in_force = offered;
    }
    else
    {
        std::set<std::string> withdrawn = stored_withdrawals(newer);
        withdrawn.insert(carried.domains.begin(), carried.domains.end());
        this->in_force = std::make_shared<policy>(
            newer.position(), with_withdrawals(source.value(), withdrawn),
            source.mark().configuration_era, std::move(carried));
    }
    const bool is_older_version =
        offered->mark().version < previous->mark().version;
    const offer_result result{
        !this->in_force->has_same_contents(*previous),
        is_newer && !takes_configuration && is_older_version};
    if (this->in_force->mark() == previous->mark())
    {
        this->in_force = previous;
    }
    return result;
}

mark_relation policy_succession::compare(const policy_mark& mark) const
{
    const policy_mark& own = this->in_force->mark();
    const bool has_new_carried =
        mark.carried_digest != 0 && mark.carried_digest != own.carried_digest &&
        !this->merged_carried.contains(mark.carried_digest);
    const bool is_newer =
        mark.position > own.position ||
        (mark.position.revision != 0 && has_newer_configuration(mark, own));
    if (!is_newer && !has_new_carried)
    {
        return mark_relation::nothing_new;
    }
    const bool is_same = this->in_force->is_known() &&
                         mark.digest == own.digest &&
                         mark.carried_digest == own.carried_digest;
    return is_same ? mark_relation::same_contents : mark_relation::newer;
}

void policy_succession::move_to(const policy_mark& mark)
{
    const policy_mark& own = this->in_force->mark();
    this->in_force = std::make_shared<policy>(
        *this->in_force, std::max(own.position, mark.position),
        std::max(own.configuration_era, mark.configuration_era));
}

bool policy_succession::expire(time_point now)
{
    const carried_withdrawals& carried = this->in_force->carried();
    if (carried.domains.empty() || now < carried.until)
    {
        return false;
    }
    this->in_force = std::make_shared<policy>(
        this->in_force->position(),
        with_withdrawals(
            this->in_force->value(), stored_withdrawals(*this->in_force)),
        this->in_force->mark().configuration_era, carried_withdrawals{});
    return true;
}

void policy_succession::enter_era(time_point now, std::uint64_t era)
{
    if (era > this->newest_era || this->era_seen_at == time_point{})
    {
        this->newest_era = era;
        this->era_seen_at = now;
        this->confirmed_domains.clear();
        this->merged_carried.clear();
    }
}

carried_withdrawals policy_succession::merge_carried(
    time_point now, const policy& older, const policy& newer) const
{
    carried_withdrawals result;
    const auto add = [&](const std::set<std::string>& domains, time_point until)
    {
        for (const std::string& domain : domains)
        {
            if (now < until && !this->confirmed_domains.contains(domain))
            {
                result.domains.insert(domain);
                result.until = std::max(result.until, until);
            }
        }
    };
    add(older.carried().domains, older.carried().until);
    add(newer.carried().domains, newer.carried().until);
    if (older.position().era < newer.position().era)
    {
        add(stored_withdrawals(older), this->era_seen_at + carry_limit);
    }
    return result;
}

} // namespace masticslip
