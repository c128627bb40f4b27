#pragma once
/// Test fixture: an entry_flow_core whose outputs are recorded.

#include "recording_outputs.hpp"

#include <numeric>

namespace masticslip::test
{

using namespace std::chrono_literals;

/// Id of the companion with this number.
constexpr instance_id companion(std::uint16_t number)
{
    return {endpoint{0x0A020000U + number, 7120}.packed()};
}

/// Address at which the companion with this number receives packets.
inline endpoint companion_packet_address(std::uint16_t number)
{
    return {0x0A020000U + number, 8232};
}

/// A report of a companion that accepts new flows.
inline companion_report
ready_report(std::uint16_t number, std::uint32_t in_flight = 0)
{
    companion_report report;
    report.name = "side-" + std::to_string(number);
    report.service = "meetups";
    report.failure_domain = "kgl-nyr";
    report.packet_address = companion_packet_address(number);
    report.load.concurrency = 5;
    report.load.in_flight = in_flight;
    report.load.refusal = result_code::done;
    report.policy.position = {0, 7};
    report.policy.version = 7;
    return report;
}

/// A report with the number of companions that others have stated.
inline companion_report sized_report(std::uint16_t number, std::uint32_t size)
{
    companion_report report = ready_report(number);
    report.service_size = size;
    return report;
}

/// The report with this order.
inline companion_report
with_order(companion_report report, std::uint64_t process, std::uint64_t number)
{
    report.order = {process, number};
    return report;
}

/// The report of a companion that stops after its upstream has departed.
inline companion_report
gone_report(std::uint16_t number, std::uint32_t size = 0)
{
    companion_report report = sized_report(number, size);
    report.has_left = true;
    report.is_stopping = true;
    return report;
}

/// A report of a companion that accepts new flows of this service.
inline companion_report
report_of_service(std::uint16_t number, const std::string& service)
{
    companion_report report = ready_report(number);
    report.service = service;
    return report;
}

/// The answer of a companion to a query for a flow of which the caller has
/// acknowledged this number, by default that of most data packets in tests.
inline owner_answer answer_to(
    const flow_endpoints& flow,
    ownership value,
    instance_id hint = {},
    std::uint32_t acknowledged = 2)
{
    return {flow, value, hint, acknowledged};
}

/// The registration of the companion with this number.
inline companion_record registration(std::uint16_t number)
{
    return {
        companion(number), "side-" + std::to_string(number), "meetups",
        "kgl-nyr", companion_packet_address(number)};
}

/// An entry in the failure domain of its companions.
struct entry_fixture
{
    entry_fixture() : core({"kgl-nyr", 1'000}, output, events)
    {
    }

    /// Installs a policy and reports companions 1 to `count`, with load
    /// increasing by number. The list has shown them all; tests that depend on
    /// their being listed still list them.
    void make_ready(std::uint16_t count)
    {
        this->core.on_policy(at(0ms), test_policy(7));
        std::vector<std::uint16_t> numbers(count);
        std::iota(
            numbers.begin(), numbers.end(), static_cast<std::uint16_t>(1));
        this->list_for_a_time(numbers, "meetups");
        for (const std::uint16_t i : numbers)
        {
            this->core.on_message(
                at(0ms), companion(i), ready_report(i, 3U * i));
        }
        this->output.sent.clear();
    }

    /// The list has shown these companions of a service long after they had to
    /// register, and no longer does: their leases have ended.
    void list_for_a_time(
        const std::vector<std::uint16_t>& numbers, const std::string& service)
    {
        this->core.on_list_read(at(-10s));
        for (const std::uint16_t i : numbers)
        {
            companion_record record = registration(i);
            record.service = service;
            this->core.on_listed(at(0ms), record);
        }
        for (const std::uint16_t i : numbers)
        {
            this->core.on_unlisted(at(0ms), companion(i));
        }
    }

    /// Companions with these numbers report each 250 ms from `from` to `to`;
    /// the others are silent.
    void report_from(
        const std::vector<std::uint16_t>& numbers,
        std::chrono::milliseconds from,
        std::chrono::milliseconds to)
    {
        for (auto now = from; now <= to; now += 250ms)
        {
            for (const std::uint16_t i : numbers)
            {
                this->core.on_message(at(now), companion(i), ready_report(i));
            }
            this->core.on_tick(at(now));
        }
    }

    /// Companions with these numbers answer that they do not hold the flow.
    void answer_absent(
        std::chrono::milliseconds now,
        const std::vector<std::uint16_t>& numbers,
        const flow_endpoints& flow,
        std::uint32_t acknowledged = 2)
    {
        for (const std::uint16_t i : numbers)
        {
            this->core.on_message(
                at(now), companion(i),
                answer_to(flow, ownership::absent, {}, acknowledged));
        }
    }

    recording_entry_output output;
    recording_event_sink events;
    entry_flow_core core;
};

} // namespace masticslip::test
