#include "member_list.hpp"

#include "member_document.hpp"

namespace masticslip
{

namespace
{

/// An entry of the list that can be read.
struct listed_record
{
    std::string key;
    companion_record record;
};

bool has_known_name(
    const companion_directory& known, const companion_record& record)
{
    const directory_member* member = known.find(record.id);
    return member != nullptr && member->record.name == record.name;
}

} // namespace

member_list read_member_list(
    const std::string& prefix,
    const std::map<std::string, std::string>& values,
    const companion_directory& known)
{
    member_list result;
    std::map<instance_id, listed_record> by_address;
    const auto refuse = [&result](const std::string& key, std::string reason)
    {
        result.refused.push_back(
            {key, {result_code::dropped_malformed, std::move(reason)}});
    };
    for (const auto& [key, text] : values)
    {
        failure_reason reason;
        auto record = parse_member(text, reason);
        if (!record)
        {
            result.refused.push_back({key, reason});
            continue;
        }
        if (key != prefix + record->name)
        {
            refuse(key, "the key is that of another companion");
            continue;
        }
        listed_record item{key, std::move(*record)};
        const auto [found, is_first] =
            by_address.try_emplace(item.record.id, item);
        if (is_first)
        {
            continue;
        }
        if (has_known_name(known, item.record))
        {
            std::swap(found->second, item);
        }
        refuse(
            item.key, "the address is that of the companion registered as " +
                          found->second.key);
    }
    for (auto& [id, item] : by_address)
    {
        result.records.push_back(std::move(item.record));
    }
    return result;
}

} // namespace masticslip
