#pragma once
/// The operators' configuration document: typed form, checks and JSON form.
///
///     failure_reason reason;
///     auto parsed = parse_configuration(text, reason);
///     if (!parsed) report(reason.text);   // "$.services[0].adress: unknown
///     key"
///
/// The document is one JSON value in the platform's key-value service.
/// Unknown keys and bad values are refused with the path of the key.

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

/// How packets of a service are treated.
enum class service_protocol : std::uint8_t
{
    coap,    ///< Requests are understood: admission, at-most-once, drain.
    datagram ///< Packets are forwarded by flow without being read.
};

/// One service: name and the address that callers use.
struct service_definition
{
    std::string name;
    /// Zero for datagram services that are reached through routes.
    endpoint address;
    service_protocol protocol = service_protocol::coap;
    /// New flows a second that a cold upstream bears; zero: not stated.
    double cold_flows_per_second = 0;
    /// Open flows that one upstream bears; zero: not stated.
    std::uint32_t max_flows = 0;

    bool operator==(const service_definition&) const = default;
};

/// Whether the requests inside a flow may run more than once.
enum class request_kind : std::uint8_t
{
    safe,   ///< Callers repeat them after any failure.
    unsafe, ///< At most once; callers repeat only what has not run.
    upload  ///< At most once, with a large body.
};

/// A called address of a datagram service. Several may lead to one service.
struct route_definition
{
    std::string name;
    endpoint address;
    std::string service;
    request_kind kind = request_kind::unsafe;
    /// Time after which a request is of no use; zero: not stated.
    std::chrono::milliseconds time_limit{};
    /// Time within which a request should be answered; zero: not stated.
    std::chrono::milliseconds target_latency{};
    /// Lower values go first.
    std::uint32_t priority = 0;

    bool operator==(const route_definition&) const = default;
};

/// Limits of one preset.
struct preset_limits
{
    /// Concurrent requests that one upstream may be given (1 to 1000).
    std::uint32_t max_in_flight = 5;
    /// Flows that one companion may own (1 to 1000000).
    std::uint32_t max_flows = 20000;

    bool operator==(const preset_limits&) const = default;
};

/// A named way to spread traffic. Exactly one preset is in force.
struct preset
{
    std::string name;
    /// Candidates compared by load when a flow is created (1 to 5).
    std::uint32_t choice_width = 3;
    /// Share of new flows for each failure domain (0 to 100, default 1).
    std::map<std::string, std::uint32_t> weights;
    preset_limits limits;

    bool operator==(const preset&) const = default;
};

/// Who changed the document, and what stood before.
struct change_record
{
    std::string id;
    std::string operator_name;
    std::string reason;
    /// Hex digest of the previous audit record; empty for the first.
    std::string previous_hash;

    bool operator==(const change_record&) const = default;
};

/// The whole document. Immutable once in force; share it by const reference.
struct configuration
{
    generation number = 0;
    change_record change;
    std::vector<service_definition> services;
    std::vector<route_definition> routes;
    /// Flows of datagram services without packets for this long may be
    /// forgotten; zero: not stated.
    std::chrono::milliseconds flow_idle_limit{};
    std::vector<std::string> failure_domains;
    std::vector<std::string> withdrawn_domains;
    std::vector<preset> presets;
    std::string preset_in_force;

    bool operator==(const configuration&) const = default;

    /// The preset in force. Precondition: the document was checked.
    [[nodiscard]] const preset& active_preset() const;

    /// True if operators have taken this failure domain out.
    [[nodiscard]] bool is_withdrawn(std::string_view domain) const;

    /// The service with this id, or null.
    [[nodiscard]] const service_definition* find_service(service_id id) const;
};

/// Largest accepted document in bytes: it must fit one internal datagram.
constexpr std::size_t max_document_size = std::size_t{48} * 1024;

/// Parses and checks a document of at most `max_size` bytes. Thread-safe.
std::optional<configuration> parse_configuration(
    std::string_view text,
    failure_reason& reason,
    std::size_t max_size = max_document_size);

/// Checks a typed document; returns nullopt and a reason if a rule is broken.
std::optional<configuration>
check_configuration(configuration value, failure_reason& reason);

/// Serializes a document; parsing the result gives an equal document.
std::string serialize_configuration(const configuration& value);

} // namespace masticslip
