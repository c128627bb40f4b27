#include "masticslip/core/detail/companion_context.hpp"

#include <boost/json.hpp>

namespace masticslip
{

namespace json = boost::json;

std::optional<upstream_announcement> parse_announcement(byte_view payload)
{
    const std::string_view text(
        reinterpret_cast<const char*>(payload.data()), payload.size());
    json::error_code error;
    const json::value root = json::parse(text, error);
    const auto* object = error ? nullptr : root.if_object();
    if (object == nullptr)
    {
        return std::nullopt;
    }
    const auto* service = object->if_contains("service");
    const auto* epoch = object->if_contains("epoch");
    const auto* draining = object->if_contains("draining");
    const bool complete = service != nullptr && service->is_string() &&
                          epoch != nullptr && epoch->is_number();
    if (!complete)
    {
        return std::nullopt;
    }
    upstream_announcement result;
    result.service = std::string(service->get_string());
    result.epoch = epoch->to_number<std::uint64_t>(error);
    result.draining =
        draining != nullptr && draining->is_bool() && draining->get_bool();
    if (error)
    {
        return std::nullopt;
    }
    return result;
}

} // namespace masticslip
