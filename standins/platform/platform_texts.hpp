#pragma once
/// Input of real masticslip processes in the platform's formats: settings
/// files, HTTP calls of upstreams and of the fabric, documents of operators.

#include "masticslip/flow/upstream_status.hpp"
#include "net/http.hpp"

#include <optional>
#include <string>

namespace masticslip::standin
{

/// Environment variable with the path of a settings file.
extern const char* const settings_variable;

/// Ports of a machine; the same on all machines.
struct machine_ports
{
    std::uint16_t packets = 8'172;
    std::uint16_t ready = 8'167;
    std::uint16_t status = 8'166;
    std::uint16_t upstream = 8'165;
    std::uint16_t outbound = 8'162;
};

/// Content of the settings file of a process.
struct machine_settings
{
    std::string name;
    std::string failure_domain;
    std::uint32_t address = 0;
    endpoint store;
    /// Service of the upstream of a companion; nullopt for an entry.
    std::optional<std::string> service;
    std::chrono::milliseconds status_interval{1'000};
};

/// Text of a settings file. All functions in this header are thread-safe.
std::string settings_text(const machine_settings& machine);

/// Status message of an upstream to the companion at this address.
http_call status_call(std::uint32_t address, const upstream_status& status);

/// Message by which an upstream reports to the companion at this address that
/// it has left.
http_call
departure_call(std::uint32_t address, const upstream_incarnation& incarnation);

/// Readiness probe of the fabric for the entry at this address.
http_call ready_call(std::uint32_t address);

/// Store keys that operators write.
std::string configuration_key();
std::string withdrawal_key(const std::string& failure_domain);

/// A configuration with the services meetups and papers at 198.18.0.1:443 and
/// 198.18.0.2:443; `time_limit` applies to meetups.
std::string
configuration_text(std::uint64_t version, std::chrono::milliseconds time_limit);

} // namespace masticslip::standin
