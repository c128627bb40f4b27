#pragma once
/// Null outputs and a null event sink for tests, fuzz targets and benchmarks
/// that exercise a single core.

#include "masticslip/core/companion_core.hpp"
#include "masticslip/core/entry_core.hpp"

namespace masticslip::testing
{

class null_event_sink final : public event_sink
{
public:
    void on_event(time_point, const core_event&) override
    {
    }
};

class null_entry_output : public entry_output
{
public:
    void send(instance_id, const internal_message&) override
    {
    }
    void send_to_caller(const flow_key&, byte_view) override
    {
    }
    void refuse_caller(
        const flow_key&, byte_view, result_code, std::chrono::seconds) override
    {
    }
    void on_configuration(const configuration&) override
    {
    }
};

class null_companion_output : public companion_output
{
public:
    void send(instance_id, const internal_message&) override
    {
    }
    void send_to_upstream(byte_view) override
    {
    }
    void send_datagram_to_upstream(const flow_key&, byte_view) override
    {
    }
    void close_datagram_flow(const flow_key&) override
    {
    }
};

/// A valid configuration with the service "meetups" and the failure domain "a".
constexpr const char* small_document =
    R"({"schema":1,"generation":1,"services":[{"name":"meetups",)"
    R"("address":"127.0.0.1:5683"}],"failure_domains":["a"],)"
    R"("presets":[{"name":"p"}],"preset_in_force":"p"})";

} // namespace masticslip::testing
