#pragma once
/// Reads the fields of a configuration document from its JSON form.

#include "fault_list.hpp"
#include "masticslip/core/configuration.hpp"

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace masticslip::detail
{

/// Path of an item of a top-level list, such as `$.services[0]`.
inline std::string item_path(std::string_view list, std::size_t index)
{
    return "$." + std::string(list) + "[" + std::to_string(index) + "]";
}

/// Reads all fields; each one that is missing, unknown, of another type or out
/// of its range is added to `faults`. References between fields are not
/// checked.
configuration read_document(const boost::json::value& root, fault_list& faults);

} // namespace masticslip::detail
