#pragma once
/// Configuration document of the operators: types, validation and JSON form.
///
///     failure_reason reason;
///     auto parsed = parse_configuration(text, reason);
///     if (!parsed) report(reason.text);
///     // for example "$.services[0].adress: unknown key"
///
/// The document is one JSON value in the platform's key-value service.
/// Unknown keys and invalid values are rejected; the error names the key's
/// path.

#include "masticslip/core/configuration_finding.hpp"
#include "masticslip/core/failure_reason.hpp"
#include "masticslip/core/types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip
{

/// How a service's packets are processed.
enum class service_protocol : std::uint8_t
{
    coap,    ///< Requests are parsed: admission, at-most-once, draining.
    datagram ///< Packets are forwarded by flow without being parsed.
};

/// A service and the address on which callers reach it.
struct service_definition
{
    std::string name;
    /// Zero for datagram services that are reached through routes.
    endpoint address;
    service_protocol protocol = service_protocol::coap;
    /// New flows per second that a cold upstream can take; zero: unspecified.
    double cold_flows_per_second = 0;
    /// Open flows that one upstream can hold; zero: unspecified.
    std::uint32_t max_flows = 0;

    bool operator==(const service_definition&) const = default;
};

/// Whether the requests of a flow may be executed more than once.
enum class request_kind : std::uint8_t
{
    safe,    ///< Callers may retry after any failure.
    unsafe,  ///< At most once; callers retry only requests that did not run.
    upload,  ///< At most once, with a large body.
    download ///< Callers may retry after any failure; large answers.
};

/// True if callers may repeat requests of this kind after any failure.
constexpr bool is_repeatable(request_kind kind)
{
    return kind == request_kind::safe || kind == request_kind::download;
}

/// True if requests of this kind carry many bytes, in either direction.
constexpr bool is_bulk(request_kind kind)
{
    return kind == request_kind::upload || kind == request_kind::download;
}

/// An address of a datagram service. A service may have several routes.
struct route_definition
{
    std::string name;
    endpoint address;
    std::string service;
    request_kind kind = request_kind::unsafe;
    /// Time after which a request is obsolete; zero: unspecified.
    std::chrono::milliseconds time_limit{};
    /// Time within which a request should be answered; zero: unspecified.
    std::chrono::milliseconds target_latency{};
    /// Lower values are served first.
    std::uint32_t priority = 0;

    bool operator==(const route_definition&) const = default;
};

struct preset_limits
{
    /// Maximum number of concurrent requests per upstream (1 to 1000).
    std::uint32_t max_in_flight = 5;
    /// Maximum number of flows owned by one companion (1 to 1000000).
    std::uint32_t max_flows = 20000;

    bool operator==(const preset_limits&) const = default;
};

/// A named traffic distribution. Exactly one preset is in force.
struct preset
{
    std::string name;
    /// Candidates compared by load when a flow is created (1 to 5).
    std::uint32_t choice_width = 3;
    /// Relative share of new flows per failure domain (0 to 100, default 1).
    std::map<std::string, std::uint32_t> weights;
    preset_limits limits;

    bool operator==(const preset&) const = default;
};

/// Audit data of the change that produced the document.
struct change_record
{
    std::string id;
    std::string operator_name;
    std::string reason;
    /// Hex digest of the previous audit record; empty for the first.
    std::string previous_hash;

    bool operator==(const change_record&) const = default;
};

/// The document. Immutable once in force; share it by const reference.
struct configuration
{
    generation number = 0;
    change_record change;
    std::vector<service_definition> services;
    std::vector<route_definition> routes;
    /// Datagram flows without packets for this long may be removed; zero:
    /// unspecified.
    std::chrono::milliseconds flow_idle_limit{};
    std::vector<std::string> failure_domains;
    std::vector<std::string> withdrawn_domains;
    std::vector<preset> presets;
    std::string preset_in_force;

    bool operator==(const configuration&) const = default;

    /// The preset in force. Precondition: the document was validated.
    [[nodiscard]] const preset& active_preset() const;

    /// True if operators have withdrawn this failure domain.
    [[nodiscard]] bool is_withdrawn(std::string_view domain) const;

    /// Returns the service with this id, or null.
    [[nodiscard]] const service_definition* find_service(service_id id) const;
};

/// Maximum document size in bytes: it must fit into one internal datagram.
constexpr std::size_t max_document_size = std::size_t{48} * 1024;

/// A document, or the errors for which it is rejected.
struct configuration_reading
{
    /// Set if and only if there are no errors.
    std::optional<configuration> value;
    /// At most one for each path and 100 in all. References between entries are
    /// checked only if each field is valid by itself.
    std::vector<configuration_finding> errors;
};

/// Parses and validates a document of at most `max_size` bytes. Only errors
/// that have no path of their own have a place. Thread-safe.
configuration_reading read_configuration(
    std::string_view text, std::size_t max_size = max_document_size);

/// The same; on failure returns nullopt and the first error. Thread-safe.
std::optional<configuration> parse_configuration(
    std::string_view text,
    failure_reason& reason,
    std::size_t max_size = max_document_size);

/// Validates a document; returns nullopt and a reason if it is invalid.
std::optional<configuration>
check_configuration(configuration value, failure_reason& reason);

/// Serializes a document; parsing the result gives an equal document.
std::string serialize_configuration(const configuration& value);

} // namespace masticslip
