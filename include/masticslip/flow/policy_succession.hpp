#pragma once
/// Decides which policy is in force.
///
/// Within one era of the store the higher revision is newer. A store that was
/// restored from an older copy may hold an older configuration, and may lack
/// withdrawals, until the operators have written them again. Therefore:
///
/// - between eras the operators' version decides which configuration is newer,
///   and the era only between equal versions;
/// - a domain that was withdrawn before the restoration stays withdrawn until
///   the store of the new era has held the withdrawal (a later removal is then
///   the operators'), for at most `carry_limit`.
///
///     policy_succession policies;
///     if (policies.offer(now, read_policy).contents_changed)
///         announce(policies.current()->mark());
///
/// Caveat: an operator who takes a domain back right after a restoration, and
/// whose withdrawal the copy did not hold, waits for `carry_limit`: the store
/// shows no change then.

#include "masticslip/flow/policy.hpp"

#include <memory>
#include <set>
#include <string>

namespace masticslip
{

/// Effect of an offered policy.
struct offer_result
{
    /// The contents in force have changed.
    bool contents_changed = false;
    /// The policy was read from a newer state of the store, but the version in
    /// force is newer and was kept.
    bool older_version_ignored = false;
};

/// Relation of a peer's policy to the one in force.
enum class mark_relation : std::uint8_t
{
    nothing_new,
    same_contents, ///< The same contents at a newer position.
    newer          ///< Part of it is newer: fetch it.
};

/// Not thread-safe; times must not decrease.
class policy_succession
{
public:
    /// Longest time for which withdrawals are carried over. Operators write
    /// again within seconds; wrongly withdrawn domains only cost capacity.
    static constexpr std::chrono::seconds carry_limit{10};

    policy_succession();

    /// Offers a policy that was fetched from the peer `source`, or read from
    /// the store if it is zero.
    offer_result offer(
        time_point now,
        const std::shared_ptr<const policy>& offered,
        instance_id source = {});

    /// Compares a peer's mark. Marks with carried withdrawals that were
    /// fetched once are not reported as newer again.
    [[nodiscard]] mark_relation compare(const policy_mark& mark) const;

    /// Takes over the position of a mark with the same contents.
    /// Precondition: compare(mark) is `same_contents`.
    void move_to(const policy_mark& mark);

    /// Ends carried withdrawals whose time is up. True if the contents in force
    /// have changed.
    bool expire(time_point now);

    [[nodiscard]] const std::shared_ptr<const policy>& current() const
    {
        return this->in_force;
    }

    /// When the contents in force were applied, and the peer that they came
    /// from; zero: the store.
    [[nodiscard]] time_point applied_at() const
    {
        return this->contents_applied_at;
    }

    [[nodiscard]] instance_id source() const
    {
        return this->contents_source;
    }

private:
    offer_result
    merge(time_point now, const std::shared_ptr<const policy>& offered);
    void enter_era(time_point now, std::uint64_t era);
    [[nodiscard]] carried_withdrawals merge_carried(
        time_point now, const policy& older, const policy& newer) const;

    std::shared_ptr<const policy> in_force;
    time_point contents_applied_at;
    instance_id contents_source;
    /// Newest era, and the time at which it was first seen.
    std::uint64_t newest_era = 0;
    time_point era_seen_at;
    /// Domains that the store of the newest era has held as withdrawn.
    std::set<std::string> confirmed_domains;
    /// Carried withdrawals of peers that were merged.
    std::set<std::uint64_t> merged_carried;
};

} // namespace masticslip
