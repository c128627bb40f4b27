#pragma once
/// What a platform gives to real processes of masticslip, in its own formats:
/// settings, calls of upstreams and of the fabric, documents of operators.

#include "masticslip/flow/upstream_status.hpp"
#include "net/http.hpp"

#include <optional>
#include <string>

namespace masticslip::standin
{

/// Environment variable that holds the path of a settings file.
extern const char* const settings_variable;

/// Ports of a machine, the same on all of them.
struct machine_ports
{
    std::uint16_t packets = 8'172;
    std::uint16_t ready = 8'167;
    std::uint16_t status = 8'166;
    std::uint16_t upstream = 8'165;
    std::uint16_t outbound = 8'162;
};

/// What the settings file of one process says.
struct machine_settings
{
    std::string name;
    std::string failure_domain;
    std::uint32_t address = 0;
    endpoint store;
    /// Service of the upstream beside the process; nullopt: an entry.
    std::optional<std::string> service;
    std::chrono::milliseconds status_interval{1'000};
};

/// Text of a settings file. Thread-safe, as all functions here.
std::string settings_text(const machine_settings& machine);

/// An upstream's status message to the companion at this address.
http_call status_call(std::uint32_t address, const upstream_status& status);

/// An upstream's last call.
http_call
departure_call(std::uint32_t address, const upstream_incarnation& incarnation);

/// The fabric's question whether an entry takes packets.
http_call ready_call(std::uint32_t address);

/// Keys that operators write.
std::string configuration_key();
std::string withdrawal_key(const std::string& failure_domain);

/// A configuration with the services meetups and papers at 198.18.0.1:443 and
/// 198.18.0.2:443; `time_limit` is that of meetups.
std::string
configuration_text(std::uint64_t version, std::chrono::milliseconds time_limit);

} // namespace masticslip::standin
