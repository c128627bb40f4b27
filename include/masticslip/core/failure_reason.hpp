#pragma once
/// Last reason of an operation that returned an empty `std::optional`.

#include "masticslip/core/result_code.hpp"

#include <string>

namespace masticslip
{

/// Why an operation gave no value. Written only on failure.
struct failure_reason
{
    result_code code = result_code::done;
    std::string text;
};

} // namespace masticslip
