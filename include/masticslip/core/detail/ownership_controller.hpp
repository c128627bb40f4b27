#pragma once
/// Determines which companion owns a flow, without consensus among entries.
///
/// A companion that does not own a flow queries the other candidates. If one
/// owns the flow, the packet is relayed to it and a redirect is stored.
/// Otherwise the flow is created at the least loaded candidate that admits
/// work. The look-up also serves as load probe (Wydrowski et al., "Load is not
/// what you should balance: Introducing Prequal", NSDI 2024).

#include "masticslip/core/detail/buffered_packet.hpp"
#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/flow_map.hpp"
#include "masticslip/core/upstream_choice.hpp"

#include <map>
#include <vector>

namespace masticslip::detail
{

/// State of one flow at its owner.
struct owned_flow
{
    time_point last_used;
    /// Until this time a multi-block transfer counts as in progress.
    time_point block_transfer_until;
    instance_id last_entry;
    /// Sibling to which a request of this flow was transferred; an id of zero
    /// if none.
    instance_id delegate;
    std::uint16_t next_message_id = 0;
    std::uint16_t watches = 0;
    std::uint16_t exchanges = 0;
};

/// Receives packets of flows owned here.
class flow_receiver
{
public:
    virtual ~flow_receiver() = default;

    virtual void
    on_owned_packet(time_point now, const forward_message& message) = 0;
};

/// Not thread-safe.
class ownership_controller
{
public:
    ownership_controller(companion_context& context, flow_receiver& receiver)
        : context(context), receiver(receiver)
    {
    }

    /// Delivers or relays a packet, or starts a look-up of the flow's owner.
    void on_packet(time_point now, const forward_message& message);

    void on_message(
        time_point now, const message_header& header, const flow_query& query);
    void on_message(
        time_point now,
        const message_header& header,
        const flow_query_answer& answer);

    /// Repeats queries, completes look-ups and removes idle flows.
    void on_tick(time_point now);

    /// Takes ownership of a flow; returns its state, valid until the next call.
    owned_flow&
    take_ownership(time_point now, const flow_key& flow, instance_id entry);

    /// State of an owned flow, or null; valid until the next call.
    [[nodiscard]] owned_flow* find(const flow_key& flow);

    /// Stops owning a flow; later packets go to `target`.
    void redirect(time_point now, const flow_key& flow, instance_id target);

    /// Drops all flows, redirects and look-ups. Returns the number of flows.
    std::size_t terminate_all();

    /// Relays a packet to another companion.
    void relay(
        time_point now,
        const forward_message& message,
        instance_id target,
        forward_mode mode);

    [[nodiscard]] const flow_map<owned_flow>& flows() const
    {
        return this->owned;
    }

    [[nodiscard]] std::size_t redirect_count() const
    {
        return this->redirects.size();
    }

private:
    struct redirect_record
    {
        instance_id target;
        time_point expires;
    };

    struct look_up
    {
        std::uint32_t query = 0;
        std::vector<buffered_packet> packets;
        std::vector<candidate_load> candidates;
        std::vector<instance_id> unanswered;
        time_point started;
        /// Time for which this process has been able to receive answers.
        duration waited{};
        bool repeated = false;
    };

    /// Target of a redirect to a known instance, or an id of zero.
    instance_id redirect_target(time_point now, const forward_message& message);
    /// `additional_candidate` is queried too, unless it is zero.
    void start_look_up(
        time_point now,
        const forward_message& message,
        instance_id additional_candidate);
    void send_queries(const flow_key& flow, const look_up& state);
    void
    query_additional(const flow_key& flow, look_up& state, instance_id target);
    void choose_owner(time_point now, const flow_key& flow);
    void advance_look_ups(time_point now);
    void resolve(
        time_point now,
        const flow_key& flow,
        instance_id owner,
        forward_mode mode);
    bool outranks_self(const flow_key& flow, instance_id other) const;
    bool may_create(const forward_message& message) const;
    void expire_idle(time_point now);

    companion_context& context;
    flow_receiver& receiver;
    flow_map<owned_flow> owned;
    flow_map<redirect_record> redirects;
    std::map<flow_key, look_up> look_ups;
    std::uint32_t next_query = 1;
    time_point last_tick;
    time_point next_expiry;
};

} // namespace masticslip::detail
