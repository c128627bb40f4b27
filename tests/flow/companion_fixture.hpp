#pragma once
/// A companion's core with recorded outputs, for tests.

#include "recorded_outputs.hpp"

namespace masticslip::test
{

using namespace std::chrono_literals;

/// Id of the entry that sends to the companion.
constexpr instance_id entry{endpoint{0x0A010021, 7120}.packed()};
/// First sequence number of the upstream.
constexpr std::uint32_t upstream_sequence = 5'000;

/// A status of the upstream's first start.
inline upstream_status ready_status(std::uint64_t sequence)
{
    upstream_status status;
    status.incarnation = {"i-1", 1'000'000ms};
    status.sequence = sequence;
    status.service = "meetups";
    status.failure_domain = "kgl-nyr";
    status.concurrency = 5;
    return status;
}

/// A companion beside an upstream with five slots.
struct companion_fixture
{
    companion_fixture()
        : core(
              {"side-1",
               "meetups",
               "kgl-nyr",
               {0x0A010023, 8232},
               1'000ms,
               60s},
              output,
              events)
    {
    }

    /// A policy and a ready upstream whose whole life was seen.
    void make_ready()
    {
        this->core.on_policy(at(0ms), test_policy(7));
        this->core.on_status(at(0ms), ready_status(1));
    }

    /// Opens a flow up to the caller's first data.
    void open(const flow_ends& flow, time_point now)
    {
        this->core.on_caller_packet(now, entry, opening_packet(flow));
        this->core.on_upstream_packet(
            now, accepting_packet(flow, upstream_sequence));
        this->core.on_caller_packet(
            now, entry, data_packet(flow, 1'001, upstream_sequence + 1));
    }

    /// Reason of the only refusal, or `done`.
    result_code refusal() const
    {
        const auto refused = messages_of<flow_refused>(this->output.sent);
        return refused.empty() ? result_code::done : refused.back().reason;
    }

    recorded_companion output;
    recorded_events events;
    companion_flow_core core;
};

/// The packet as an upstream that does not know the flow returns it.
inline flow_packet bounced(flow_packet packet)
{
    packet.flags.bounced = true;
    return packet;
}

} // namespace masticslip::test
