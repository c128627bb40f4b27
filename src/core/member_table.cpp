#include "masticslip/core/member_table.hpp"

#include <algorithm>
#include <tuple>

namespace masticslip
{

namespace
{

void insert_sorted(std::vector<instance_id>& ids, instance_id id)
{
    const auto position = std::lower_bound(ids.begin(), ids.end(), id);
    if (position == ids.end() || *position != id)
    {
        ids.insert(position, id);
    }
}

} // namespace

std::string_view to_string(member_state state)
{
    switch (state)
    {
    case member_state::serving:
        return "serving";
    case member_state::draining:
        return "draining";
    case member_state::suspect:
        return "suspect";
    case member_state::left:
        return "left";
    }
    return "invalid";
}

bool member_record::is_older_than(const member_record& other) const
{
    return std::tie(this->incarnation_number, this->version) <
           std::tie(other.incarnation_number, other.version);
}

bool member_table::merge(const member_record& record)
{
    const auto found = this->records.find(record.id);
    if (found != this->records.end())
    {
        if (!found->second.is_older_than(record))
        {
            return false;
        }
        this->index_remove(found->second);
    }
    this->records[record.id] = record;
    this->index_add(record);
    ++this->change_count;
    return true;
}

const member_record* member_table::find(instance_id id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

const std::vector<instance_id>&
member_table::companions_of(service_id service) const
{
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? this->empty_ids : found->second;
}

const std::vector<instance_id>& member_table::entries() const
{
    return this->entry_ids;
}

void member_table::erase(instance_id id)
{
    const auto found = this->records.find(id);
    if (found != this->records.end())
    {
        this->index_remove(found->second);
        this->records.erase(found);
        ++this->change_count;
    }
}

void member_table::index_add(const member_record& record)
{
    this->entry_change_count += record.role == member_role::entry ? 1 : 0;
    if (record.state == member_state::left)
    {
        return;
    }
    if (record.role == member_role::entry)
    {
        insert_sorted(this->entry_ids, record.id);
        return;
    }
    insert_sorted(this->by_service[record.service], record.id);
}

void member_table::index_remove(const member_record& record)
{
    if (record.role == member_role::entry)
    {
        ++this->entry_change_count;
        std::erase(this->entry_ids, record.id);
        return;
    }
    const auto found = this->by_service.find(record.service);
    if (found != this->by_service.end())
    {
        std::erase(found->second, record.id);
    }
}

} // namespace masticslip
