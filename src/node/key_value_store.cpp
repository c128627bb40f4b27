#include "masticslip/store/key_value_store.hpp"

namespace masticslip
{

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
    case store_status::unknown:
        break;
    }
    return "unknown";
}

} // namespace masticslip
