#pragma once
/// Companion role: connects companion_core to UDP sockets.

#include "libcoap_codec.hpp"
#include "masticslip/core/companion_core.hpp"
#include "process.hpp"

#include <map>
#include <memory>

namespace masticslip
{

/// Not thread-safe.
class companion_process final : public process, private companion_output
{
public:
    companion_process(
        boost::asio::io_context& context, daemon_settings settings);

private:
    bool open_role(std::string& reason) override;
    void on_message(const received_message& message) override;
    void on_tick(time_point now) override;
    void on_stop_requested(time_point now) override;
    bool may_exit(time_point now) override;
    void before_exit(time_point now) override;
    [[nodiscard]] std::shared_ptr<const configuration>
    current_configuration() const override;
    boost::json::object status(time_point now) override;
    boost::json::object flows(std::size_t limit) override;
    bool submit_configuration(
        const std::string& document, failure_reason& reason) override;

    void send(instance_id to, const internal_message& message) override;
    void send_to_upstream(byte_view datagram) override;
    void send_datagram_to_upstream(
        const flow_key& flow, byte_view datagram) override;
    void close_datagram_flow(const flow_key& flow) override;

    void on_upstream_datagram(const endpoint& from, byte_view datagram);
    bool handle_announcement(const endpoint& from, const coap_message& message);
    void open_flow_socket(const flow_key& flow);

    libcoap_codec coap;
    companion_core core;
    datagram_socket upstream_socket;
    std::map<flow_key, std::unique_ptr<datagram_socket>> flow_sockets;
    time_point exit_deadline;
};

} // namespace masticslip
