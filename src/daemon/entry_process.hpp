#pragma once
/// Entry role: connects entry_core to UDP sockets and the store.

#include "libcoap_codec.hpp"
#include "masticslip/core/entry_core.hpp"
#include "process.hpp"
#include "store_watcher.hpp"

#include <map>
#include <memory>

namespace masticslip
{

/// Not thread-safe.
class entry_process final : public process, private entry_output
{
public:
    entry_process(boost::asio::io_context& context, daemon_settings settings);

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
    void send_to_caller(const flow_key& flow, byte_view payload) override;
    void refuse_caller(
        const flow_key& flow,
        byte_view payload,
        result_code code,
        std::chrono::seconds retry_after) override;
    void on_configuration(const configuration& value) override;

    void open_service(const service_definition& service);
    void update_gauges();

    struct service_socket
    {
        endpoint address;
        std::unique_ptr<datagram_socket> socket;
    };

    entry_core core;
    libcoap_codec coap;
    std::unique_ptr<store_watcher> store;
    std::map<service_id, service_socket> services;
    time_point exit_deadline;
};

} // namespace masticslip
