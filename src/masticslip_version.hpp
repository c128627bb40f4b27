#pragma once
/// Version of the programs.

namespace masticslip
{

constexpr const char* version_text = "0.1.0";

} // namespace masticslip
