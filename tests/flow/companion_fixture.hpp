#pragma once
/// Test fixture: a companion_flow_core whose outputs are recorded.

#include "recording_outputs.hpp"

namespace masticslip::test
{

using namespace std::chrono_literals;

/// Id of the entry that sends packets to the companion.
constexpr instance_id entry{endpoint{0x0A010021, 7120}.packed()};
/// Initial sequence number chosen by the upstream.
constexpr std::uint32_t upstream_sequence = 5'000;

/// Address of the companion's upstream.
constexpr endpoint upstream_address{0x0A010023, 8080};

/// A ready status of the upstream's first incarnation.
inline upstream_status ready_status(std::uint64_t sequence)
{
    upstream_status status;
    status.incarnation = {"i-1", 1'000'000ms};
    status.sequence = sequence;
    status.service = "meetups";
    status.failure_domain = "kgl-nyr";
    status.address = upstream_address;
    status.concurrency = 5;
    return status;
}

/// Settings of a companion whose upstream sends ready_status().
inline companion_flow_settings settings_of_companion()
{
    companion_flow_settings result;
    result.name = "side-1";
    result.service = "meetups";
    result.failure_domain = "kgl-nyr";
    result.packet_address = {0x0A010023, 8232};
    result.upstream_address = upstream_address;
    return result;
}

/// A companion whose upstream has a concurrency of five.
struct companion_fixture
{
    companion_fixture() : core(settings_of_companion(), output, events)
    {
    }

    /// Installs a policy and reports a ready upstream. The status has sequence
    /// number 1, so the companion has observed the upstream since its start.
    void make_ready()
    {
        this->core.on_policy(at(0ms), test_policy(7));
        this->core.on_status(at(0ms), ready_status(1));
    }

    /// Opens a flow: handshake and the caller's first data packet.
    void open(const flow_endpoints& flow, time_point now)
    {
        this->core.on_caller_packet(now, entry, opening_packet(flow));
        this->core.on_upstream_packet(
            now, accepting_packet(flow, upstream_sequence));
        this->core.on_caller_packet(
            now, entry, data_packet(flow, 1'001, upstream_sequence + 1));
    }

    /// Reason of the last refusal; `done` if there was none.
    result_code refusal() const
    {
        const auto refused = messages_of<flow_refused>(this->output.sent);
        return refused.empty() ? result_code::done : refused.back().reason;
    }

    recording_companion_output output;
    recording_event_sink events;
    companion_flow_core core;
};

/// The packet as returned by an upstream that does not know the flow.
inline flow_packet bounced(flow_packet packet)
{
    packet.flags.bounced = true;
    return packet;
}

} // namespace masticslip::test
