#include "masticslip/flow/policy_evidence.hpp"

#include <algorithm>
#include <ratio>

namespace masticslip
{

namespace
{

/// The first process renews evidence older than the time limit divided by this.
constexpr int check_divisor = 4;
/// Each further one waits longer by the time limit divided by this: a check, a
/// tick of a companion's and the way there and back.
constexpr int rank_divisor = 8;
/// Evidence older than this fraction of the time limit is reported as stale.
constexpr std::ratio<3, 4> stale_fraction;

} // namespace

std::string source_text(const policy_status& status)
{
    return status.source.value == 0 ? "store"
                                    : to_string(status.source.address());
}

std::string describe_policy(const policy& value, const policy_status& status)
{
    const bool is_confirmed = status.evidence_age != duration::max();
    const auto evidence_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            status.evidence_age);
    return "version=" + std::to_string(value.mark().version) +
           " source=" + source_text(status) + " evidence_ms=" +
           (is_confirmed ? std::to_string(evidence_age.count()) : "none");
}

policy_evidence::policy_evidence(std::chrono::milliseconds time_limit)
    : time_limit(time_limit)
{
}

void policy_evidence::confirm(time_point time)
{
    this->confirmed_at = std::max(this->confirmed_at.value_or(time), time);
}

void policy_evidence::confirm_by_peer(time_point now, duration peer_age)
{
    if (peer_age < max_peer_age)
    {
        this->confirm(now - peer_age);
    }
}

duration policy_evidence::age(time_point now) const
{
    return this->confirmed_at ? std::max(duration{}, now - *this->confirmed_at)
                              : duration::max();
}

std::optional<time_point> policy_evidence::check_due_at() const
{
    if (!this->confirmed_at)
    {
        return std::nullopt;
    }
    return *this->confirmed_at + this->time_limit / check_divisor +
           this->time_limit / rank_divisor * this->check_rank;
}

std::optional<flow_event_kind>
policy_evidence::observe_staleness(time_point now)
{
    const bool was_stale = this->is_stale;
    this->is_stale = this->age(now) >
                     this->time_limit * stale_fraction.num / stale_fraction.den;
    if (this->is_stale == was_stale)
    {
        return std::nullopt;
    }
    return this->is_stale ? flow_event_kind::policy_unconfirmed
                          : flow_event_kind::policy_confirmed;
}

} // namespace masticslip
