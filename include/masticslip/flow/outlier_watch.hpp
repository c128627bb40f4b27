#pragma once
/// Upstreams that an entry has set aside, and the probes that show whether they
/// have recovered.
///
/// Load pattern: an upstream fails requests for seconds or minutes. Repeatable
/// requests are sent there now and then, few enough that their callers, who
/// lose a try, hardly notice, and enough to find out soon that it answers
/// again.
///
///     for (const outlier_change& change : watch.on_load(now, id)) log(change);
///     if (watch.is_probe_due(now, member, entry_count)) ...
///     watch.on_placed(now, member, is_repeatable);
///
/// The result of the comparison (upstream_outliers.hpp) is
/// directory_member::is_outlier.

#include "masticslip/flow/companion_directory.hpp"

#include <map>
#include <vector>

namespace masticslip
{

/// An upstream that began or ceased to be an outlier.
struct outlier_change
{
    instance_id id;
    bool is_outlier = false;
    outcome_counts outcomes;
    /// Number of upstreams of the service that were compared.
    std::uint32_t compared = 0;
};

/// Not thread-safe; times must not decrease.
class outlier_watch
{
public:
    /// The directory must outlive the watch.
    explicit outlier_watch(companion_directory& directory)
        : directory(directory)
    {
    }

    /// The directory has received a load of this companion. Compares its
    /// service, unless that was done a moment ago.
    std::vector<outlier_change> on_load(time_point now, instance_id sender);

    /// True if a repeatable request may be used to find out whether the
    /// upstream has recovered. `entry_count` is the number of entries that
    /// share the probes.
    [[nodiscard]] bool is_probe_due(
        time_point now,
        const directory_member& member,
        std::uint32_t entry_count) const;

    /// An opening was placed at this companion.
    void
    on_placed(time_point now, directory_member& member, bool is_repeatable);

private:
    struct service_state
    {
        time_point compared_at;
        bool has_outliers = false;
        /// Repeatable requests that were placed since the last probe.
        std::uint32_t placed_since_probe = 0;
    };

    std::vector<outlier_change> compare(time_point now, service_id service);

    companion_directory& directory;
    std::map<service_id, service_state> services;
};

} // namespace masticslip
