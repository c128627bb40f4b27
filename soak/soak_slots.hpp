#pragma once
/// What the parts of soak_world share: its processes, upstreams and figures.

#include "platform/platform_texts.hpp"
#include "soak_world.hpp"

#include <optional>

namespace masticslip::soak
{

/// Groups of addresses: 127.network.group.number.
constexpr std::uint8_t store_group = 0;
constexpr std::uint8_t entry_group = 1;
constexpr std::uint8_t companion_group = 2;
constexpr std::uint8_t proxy_group = 3;
constexpr std::uint8_t caller_group = 100;

constexpr std::uint16_t store_port = 8'169;
constexpr standin::machine_ports ports;

constexpr endpoint meetups_address{0xC6120001, 443};
constexpr endpoint papers_address{0xC6120002, 443};

constexpr std::chrono::milliseconds status_interval{1'000};
constexpr std::chrono::milliseconds probe_interval{500};
/// Probes in a row without success before an entry leaves the rotation.
constexpr int believed_misses = 2;
constexpr std::chrono::milliseconds supervise_interval{50};
constexpr std::chrono::milliseconds restart_delay{300};
/// A machine counts as disturbed for this long after a fault
/// (from the platform's bounds).
constexpr std::chrono::milliseconds contact_time{4'000};
/// A leaving upstream goes on for this long after its acknowledgement.
constexpr std::chrono::milliseconds drain_time{3'500};
constexpr std::chrono::seconds ready_limit{20};
constexpr std::chrono::milliseconds clock_step{1};

inline std::string domain_name(std::uint32_t number)
{
    return "domain-" + std::to_string(number);
}

/// A process with its proxy to the store.
struct soak_world::node_slot
{
    std::unique_ptr<node_process> process;
    std::unique_ptr<fault_proxy> proxy;
    std::uint32_t address = 0;
    bool is_entry = false;
    bool in_rotation = false;
    int misses = 0;
    /// Set while the process is down on purpose.
    time_point down_until;
    time_point disturbed_until;
};

/// An upstream beside a companion.
struct soak_world::host_slot
{
    std::unique_ptr<standin::virtual_host> host;
    std::unique_ptr<datagram_socket> packets;
    std::size_t node = 0;
    std::string service;
    std::uint32_t domain = 0;
    std::uint64_t life = 0;
    time_point leaving_since;
    std::optional<upstream_status> old_status;
};

} // namespace masticslip::soak
