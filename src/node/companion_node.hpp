#pragma once
/// The companion role on the layer-4 path. Connects companion_flow_core to
/// sockets and to the key-value store.

#include "flow_node.hpp"
#include "masticslip/flow/companion_flow_core.hpp"
#include "member_registration.hpp"
#include "upstream_probe.hpp"

namespace masticslip
{

/// Process that runs next to one upstream. Not thread-safe.
class companion_node final : public flow_node, private companion_flow_output
{
public:
    /// All references must outlive the node.
    companion_node(
        boost::asio::io_context& context,
        node_settings settings,
        companion_node_settings role_settings,
        const packet_codec& codec,
        key_value_store& store);

    [[nodiscard]] bool is_ready() const override;
    void stop() override;

    /// Handles a status message; see companion_flow_core.
    status_outcome on_status(const upstream_status& status);

    /// Handles a departure notice. Returns false if it is outdated or that of
    /// another sender.
    bool on_departure(const upstream_incarnation& incarnation);

    /// A message to the status address could not be read.
    void on_malformed_status(std::string_view id, const failure_reason& reason);

    [[nodiscard]] const companion_node_settings& upstream_settings() const
    {
        return this->role_settings;
    }

private:
    bool open_role(std::string& reason) override;
    void on_packet(const endpoint& sender, byte_view datagram) override;
    void on_control(
        time_point now,
        instance_id sender,
        const flow_message& message) override;
    void on_tick(time_point now) override;
    [[nodiscard]] std::optional<time_point> next_deadline() const override;
    [[nodiscard]] std::chrono::milliseconds tick_interval() const override;
    [[nodiscard]] std::shared_ptr<const policy> shared_policy() const override;
    void apply_policy(
        time_point now,
        std::shared_ptr<const policy> value,
        instance_id source) override;
    [[nodiscard]] policy_status status_of_policy(time_point now) const override;
    void update_gauges(time_point now) override;

    void send_to_upstream(byte_view packet) override;
    void send_to_caller(const endpoint& caller, byte_view packet) override;
    void
    reset_caller(const flow_endpoints& flow, std::uint32_t sequence) override;
    void send(instance_id to, const flow_message& message) override;
    void fetch_policy(instance_id from) override;
    void on_not_listed() override;
    void check_presence() override;

    void on_upstream_datagram(const endpoint& sender, byte_view datagram);
    void on_presence(upstream_presence result);
    boost::asio::awaitable<void> deregister_and_exit();
    /// Exits once the core permits it. Removes the companion's key first if its
    /// upstream has ended.
    void exit_when_idle();
    void exit();

    companion_node_settings role_settings;
    companion_flow_core core;
    datagram_socket upstream_socket;
    upstream_probe probe;
    member_registration registration;
    boost::asio::steady_timer exit_timer;
    time_point last_malformed_status_log;
    bool stopping = false;
};

} // namespace masticslip
