#pragma once
/// Protocol logic of a companion, the sidecar process of one upstream: flow
/// ownership, admission control, at-most-once execution, deadlines, watches and
/// draining. Performs no I/O and uses no clock, threads or random source. For
/// the layer-4 path see masticslip/flow/companion_flow_core.hpp.
///
///     companion_core core(settings, output, events, codec);
///     core.on_announcement(now, {"meetups", epoch, false});
///     core.on_message(now, header, message);
///     core.on_upstream_datagram(now, datagram);
///     core.on_tick(now);   // every tick_interval
///
/// All methods must be called from one thread with non-decreasing times.

#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/detail/ownership_controller.hpp"
#include "masticslip/core/detail/request_controller.hpp"
#include "masticslip/core/detail/retirement_controller.hpp"
#include "masticslip/core/detail/watch_controller.hpp"

#include <deque>
#include <optional>

namespace masticslip
{

/// Figures for the status report of a companion.
struct companion_status
{
    std::size_t flows = 0;
    std::size_t redirects = 0;
    std::size_t watches = 0;
    std::size_t requests_in_progress = 0;
    std::size_t records = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    bool upstream_present = false;
    bool withdrawn = false;
    bool draining = false;
    time_point last_upstream_packet;
    std::uint64_t upstream_packets = 0;
};

/// Not thread-safe.
class companion_core final : private detail::flow_receiver
{
public:
    /// The output, sink and codec must outlive the core. Precondition:
    /// settings.record_window > settings.echo_max_age +
    /// settings.request_deadline.
    companion_core(
        companion_settings settings,
        companion_output& output,
        event_sink& events,
        const coap_codec& codec);

    /// Handles one authenticated internal message.
    void on_message(
        time_point now,
        const message_header& header,
        const internal_message& message);

    /// Handles an announcement of the upstream. Returns false if it belongs
    /// to another service: it must then not be acknowledged, and that
    /// upstream gets no packets. While the present upstream announces itself,
    /// announcements of the one that it replaced are late and have no effect.
    bool
    on_announcement(time_point now, const upstream_announcement& announcement);

    /// Handles a CoAP datagram from the upstream.
    void on_upstream_datagram(time_point now, byte_view datagram);

    /// Handles an opaque datagram from the upstream for one flow.
    void
    on_flow_datagram(time_point now, const flow_key& flow, byte_view datagram);

    /// Runs timeouts and periodic work.
    void on_tick(time_point now);

    /// Starts a graceful shutdown: refuses new work and hands watches over to
    /// siblings.
    void start_drain(time_point now);

    /// True if the graceful shutdown has completed.
    [[nodiscard]] bool is_drained(time_point now) const;

    /// Ends all requests and watches in progress with a final response.
    void terminate_all(time_point now);

    [[nodiscard]] companion_status status() const;

    [[nodiscard]] const detail::config_controller& config() const
    {
        return this->context.configs;
    }

    [[nodiscard]] const member_record& self() const
    {
        return this->context.heartbeats.self();
    }

    /// Flows owned by this companion.
    [[nodiscard]] const flow_map<detail::owned_flow>& flows() const
    {
        return this->ownership.flows();
    }

private:
    /// Forwards output and counts packets to the upstream.
    class counting_output final : public companion_output
    {
    public:
        explicit counting_output(companion_output& target) : target(target)
        {
        }

        void send(instance_id to, const internal_message& message) override;
        void send_to_upstream(byte_view datagram) override;
        void send_datagram_to_upstream(
            const flow_key& flow, byte_view datagram) override;
        void close_datagram_flow(const flow_key& flow) override;

        companion_output& target;
        time_point now;
        time_point last_packet;
        std::uint64_t packets = 0;
    };

    void
    on_owned_packet(time_point now, const forward_message& message) override;
    void on_forward(
        time_point now,
        const message_header& header,
        const forward_message& message);
    void on_coap_packet(time_point now, const forward_message& message);
    void on_empty_message(
        time_point now,
        const forward_message& message,
        const coap_message& decoded);
    /// Records that this companion is active at `now` and sends heartbeats if
    /// it was suspended. Returns true if its state is current.
    bool update_readiness(time_point now);
    void advance_drain(time_point now);
    [[nodiscard]] bool is_idle(time_point now) const;
    void process_deferred_packets(time_point now);
    void on_configuration_changed(time_point now);
    void update_state(time_point now);
    void check_upstream(time_point now);

    counting_output output;
    detail::companion_context context;
    detail::ownership_controller ownership;
    detail::watch_controller watches;
    detail::retirement_controller retirement;
    detail::request_controller requests;
    std::deque<detail::buffered_packet> deferred;
    time_point last_announcement;
    /// Epoch of the upstream that the present one replaced.
    std::optional<std::uint64_t> former_epoch;
    time_point left_since;
    bool was_withdrawn = false;
};

} // namespace masticslip
