#pragma once
/// The entry role on the layer-4 path. Connects entry_flow_core to sockets and
/// to the key-value store.

#include "flow_node.hpp"
#include "masticslip/flow/entry_flow_core.hpp"
#include "policy_source.hpp"
#include "refused_entries.hpp"
#include "store_mirror.hpp"

#include <set>

namespace masticslip
{

/// Process that distributes callers' flows. Not thread-safe.
class entry_node final : public flow_node, private entry_flow_output
{
public:
    /// All references must outlive the node.
    entry_node(
        boost::asio::io_context& context,
        node_settings settings,
        const packet_codec& codec,
        key_value_store& store,
        const policy_source& policies);

    [[nodiscard]] bool is_ready() const override;
    void stop() override;

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

    void send_packet(const endpoint& companion, byte_view packet) override;
    void
    reset_caller(const flow_endpoints& flow, std::uint32_t sequence) override;
    void send(instance_id to, const flow_message& message) override;
    void fetch_policy(instance_id from) override;

    void on_members(const std::map<std::string, std::string>& values);
    void on_policy_values(
        const std::map<std::string, std::string>& values,
        const store_position& position);
    /// Reads the operators' values, with the last usable ones in place of those
    /// that are not.
    policy_reading
    read_policy(const std::map<std::string, std::string>& values);
    void log_loaded_policy(
        const store_position& position, const configuration& value) const;

    entry_flow_core core;
    const policy_source& policies;
    store_mirror member_mirror;
    store_mirror policy_mirror;
    std::set<instance_id> registered_ids;
    refused_entries refused_members;
    refused_entries refused_policy_entries;
    /// See policy_source::read().
    std::map<std::string, std::string> accepted_policy_values;
    boost::asio::steady_timer exit_timer;
    bool stopping = false;
};

} // namespace masticslip
