#pragma once
/// Remembers which entries of the store were refused, so that each is logged
/// and counted once, however often the list is read.
///
///     if (refused.add(key, value))
///         log(key, reason);
///     refused.forget_missing(values);

#include <functional>
#include <map>
#include <string>

namespace masticslip
{

/// Not thread-safe.
class refused_entries
{
public:
    /// Returns true unless the same value of the key was added before.
    bool add(const std::string& key, const std::string& value)
    {
        const std::size_t digest = std::hash<std::string>{}(value);
        const auto [found, is_new] = this->digests.emplace(key, digest);
        const bool is_changed = is_new || found->second != digest;
        found->second = digest;
        return is_changed;
    }

    /// Forgets entries that the store no longer holds.
    void forget_missing(const std::map<std::string, std::string>& values)
    {
        std::erase_if(
            this->digests, [&values](const auto& item)
            { return !values.contains(item.first); });
    }

private:
    std::map<std::string, std::size_t> digests;
};

} // namespace masticslip
