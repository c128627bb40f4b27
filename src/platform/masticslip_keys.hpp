#pragma once
/// Keys in the platform's store.

namespace masticslip
{

/// Key of the configuration document.
constexpr const char* configuration_key = "/masticslip/configuration";

} // namespace masticslip
