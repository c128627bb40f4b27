#pragma once
/// Error description of an operation that returned no value.

#include "masticslip/core/result_code.hpp"

#include <string>

namespace masticslip
{

/// Code and message of an error. Written only on failure.
struct failure_reason
{
    result_code code = result_code::done;
    std::string text;
};

} // namespace masticslip
