#include "masticslip/store/key_value_store.hpp"

namespace masticslip
{

std::string to_string(const store_position& position)
{
    const std::string revision = std::to_string(position.revision);
    return position.era == 0 ? revision
                             : std::to_string(position.era) + ":" + revision;
}

const char* to_string(store_status status)
{
    switch (status)
    {
    case store_status::done:
        return "done";
    case store_status::conflict:
        return "conflict";
    case store_status::not_found:
        return "not_found";
    case store_status::compacted:
        return "compacted";
    case store_status::refused:
        return "refused";
    case store_status::outdated:
        return "outdated";
    case store_status::unknown:
        break;
    }
    return "unknown";
}

} // namespace masticslip
