#pragma once
/// Internal types and constants of soak_world, shared by its source files.

#include "platform/platform_texts.hpp"
#include "soak_world.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace masticslip::soak
{

/// Third octet of the addresses 127.network.group.number.
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
/// Consecutive failed probes after which an entry leaves the rotation.
constexpr int max_failed_probes = 2;
constexpr std::chrono::milliseconds supervise_interval{50};
constexpr std::chrono::milliseconds restart_delay{300};
/// A process counts as disturbed for this long after a fault ends; derived
/// from the bounds that the platform states.
constexpr std::chrono::milliseconds fault_settle_time{4'000};
/// Time for which a draining upstream keeps serving after its drain was
/// acknowledged.
constexpr std::chrono::milliseconds drain_time{3'500};
/// Idle time of a flow after which its upstream may have forgotten it.
constexpr std::chrono::milliseconds flow_idle_limit{12'000};
constexpr std::chrono::seconds ready_limit{20};
constexpr std::chrono::milliseconds clock_step{1};

inline std::string domain_name(std::uint32_t number)
{
    return "domain-" + std::to_string(number);
}

/// A process and its proxy to the store.
struct soak_world::node_slot
{
    std::unique_ptr<node_process> process;
    std::unique_ptr<fault_proxy> proxy;
    std::uint32_t address = 0;
    bool is_entry = false;
    bool in_rotation = false;
    int failed_probes = 0;
    /// Until then the proxy is in the mode of the newest fault.
    time_point link_fault_until;
    /// Time from the exit of the process to its restart, after a stop.
    std::chrono::milliseconds restart_pause{};
    /// The supervisor does not restart the process before this time.
    time_point down_until;
    time_point disturbed_until;
};

/// An upstream and its companion, `node`.
struct soak_world::host_slot
{
    std::unique_ptr<standin::virtual_host> host;
    std::unique_ptr<datagram_socket> packets;
    /// Accepts connections at the packet address while the upstream runs.
    std::unique_ptr<boost::asio::ip::tcp::acceptor> listener;
    std::size_t node = 0;
    std::string service;
    std::uint32_t domain = 0;
    std::uint64_t incarnation_number = 0;
    time_point drain_acknowledged_at;
    std::optional<upstream_status> last_status;
};

} // namespace masticslip::soak
