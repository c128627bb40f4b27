#pragma once
/// Identifiers, endpoints and time types shared by every module.
///
///     flow_key key{endpoint{0x7f000001, 4000}, make_service_id("meetups")};
///
/// All types are values: copying is cheap and concurrent reads are safe.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace masticslip
{

/// Clock type of the core's time points. It has no `now()`: the core cannot
/// read the time and uses only the times that are passed to it.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A monotonic time with microsecond resolution.
using time_point = monotonic_clock::time_point;
/// A time span in microseconds.
using duration = monotonic_clock::duration;

/// An IPv4 address and UDP port, both in host byte order.
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    /// Returns the 48-bit form `address << 16 | port`.
    [[nodiscard]] constexpr std::uint64_t packed() const
    {
        return (std::uint64_t{this->address} << 16U) | this->port;
    }

    /// Returns the endpoint for its 48-bit form.
    static constexpr endpoint unpack(std::uint64_t value)
    {
        return {
            static_cast<std::uint32_t>(value >> 16U),
            static_cast<std::uint16_t>(value)};
    }
};

/// Formats an endpoint as `a.b.c.d:port`.
std::string to_string(const endpoint& value);

/// Parses `a.b.c.d:port`; nullopt if the text has another form.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Identifies a process of the system by its internal endpoint, packed.
struct instance_id
{
    std::uint64_t value = 0;

    auto operator<=>(const instance_id&) const = default;

    /// The internal endpoint of the instance.
    [[nodiscard]] endpoint address() const
    {
        return endpoint::unpack(this->value);
    }
};

/// Incarnation number of an instance: its start time in microseconds since the
/// Unix epoch. A restarted instance has a larger value.
struct incarnation
{
    std::uint64_t value = 0;

    auto operator<=>(const incarnation&) const = default;
};

/// Identifies a service by a 32-bit hash of its name. A configuration in which
/// two names have the same hash is rejected.
struct service_id
{
    std::uint32_t value = 0;

    auto operator<=>(const service_id&) const = default;
};

/// Returns the id for a service name.
service_id make_service_id(std::string_view name);

/// Version of the configuration; strictly increasing, zero means none.
using generation = std::uint64_t;

/// Identifies a flow: the packets between one caller endpoint and one service.
/// The layer-4 path identifies flows by flow_endpoints instead.
struct flow_key
{
    endpoint caller;
    service_id service;

    auto operator<=>(const flow_key&) const = default;
};

/// Mixes two 64-bit values into one well-distributed hash.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

/// Returns a well-distributed hash of a flow.
std::uint64_t hash_flow(const flow_key& flow);

} // namespace masticslip

template <>
struct std::hash<masticslip::flow_key>
{
    using is_avalanching = void;
    std::size_t operator()(const masticslip::flow_key& flow) const
    {
        return masticslip::hash_flow(flow);
    }
};

template <>
struct std::hash<masticslip::instance_id>
{
    using is_avalanching = void;
    std::size_t operator()(const masticslip::instance_id& id) const
    {
        return masticslip::hash_pair(id.value, 0);
    }
};

template <>
struct std::hash<masticslip::service_id>
{
    std::size_t operator()(const masticslip::service_id& id) const
    {
        return id.value;
    }
};
