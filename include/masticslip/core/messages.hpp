#pragma once
/// Messages of the internal protocol between entries and companions.
///
/// The codec is `masticslip/wire/message_codec.hpp`. Payload spans refer to
/// the buffer of the received datagram and are valid only during the call.

#include "masticslip/core/coap_message.hpp"
#include "masticslip/core/member_table.hpp"
#include "masticslip/core/types.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace masticslip
{

/// Header of every internal message.
struct message_header
{
    instance_id sender;
    incarnation incarnation_number;
    /// Configuration generation that the sender has in force.
    generation generation_in_force = 0;
};

/// Non-owning view of octets, usually in the receive buffer.
using byte_view = std::span<const std::uint8_t>;

/// Maximum number of candidates in one message.
constexpr std::size_t max_candidates = 16;

/// Fixed-capacity list of candidates, best first.
struct candidate_list
{
    std::array<instance_id, max_candidates> ids{};
    std::uint8_t count = 0;

    [[nodiscard]] std::span<const instance_id> view() const
    {
        return {this->ids.data(), this->count};
    }

    /// Appends an id; ignored when full.
    void add(instance_id id)
    {
        if (this->count < max_candidates)
        {
            this->ids[this->count++] = id;
        }
    }

    [[nodiscard]] bool contains(instance_id id) const
    {
        for (const instance_id item : this->view())
        {
            if (item == id)
            {
                return true;
            }
        }
        return false;
    }
};

/// How the receiver of a forwarded packet determines the flow's owner.
enum class forward_mode : std::uint8_t
{
    owner,   ///< The sender expects the receiver to be the owner.
    look_up, ///< Find the owner; create the flow if there is none.
    create,  ///< All candidates were queried; take ownership.
    bound,   ///< Execute the request: its Echo value names the receiver.
    transfer ///< The sender has not executed the request and never will.
};

/// Trace context of one packet (W3C trace and parent span ids).
struct trace_context
{
    std::uint64_t trace_high = 0;
    std::uint64_t trace_low = 0;
    std::uint64_t parent_span = 0;

    [[nodiscard]] bool sampled() const
    {
        return this->trace_low != 0;
    }
};

/// A caller's packet that is forwarded to the owner of its flow.
struct forward_message
{
    flow_key flow;
    /// Entry that received the packet; replies may be sent through it.
    instance_id entry;
    forward_mode mode = forward_mode::owner;
    std::uint8_t hops = 0;
    /// Nonzero if the sender expects a forward_ack.
    std::uint32_t sequence = 0;
    /// For `transfer`: the only incarnation of the receiver that may run it.
    incarnation target_incarnation;
    /// For `transfer`: the receiver owns the flow from now on.
    bool moves_flow = false;
    trace_context trace;
    candidate_list candidates;
    byte_view payload;
};

/// Acknowledges that a companion took responsibility for a packet.
struct forward_ack
{
    std::uint32_t sequence = 0;
};

/// A packet for a caller.
struct reply_message
{
    flow_key flow;
    /// True if the sender owns the flow, so that entries may cache it.
    bool from_owner = true;
    trace_context trace;
    byte_view payload;
};

/// Queries the state of a flow at the receiver and the receiver's load.
struct flow_query
{
    flow_key flow;
    std::uint32_t query = 0;
};

/// State of a flow at the queried companion.
enum class flow_ownership_status : std::uint8_t
{
    unknown,
    owned,
    redirected,
    looking_up ///< A look-up of the flow is in progress there.
};

/// Answer to flow_query.
struct flow_query_answer
{
    flow_key flow;
    std::uint32_t query = 0;
    flow_ownership_status ownership_status = flow_ownership_status::unknown;
    instance_id owner;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    std::uint32_t flows = 0;
    bool admits = false;
};

/// Sent by an instance to its watchers; carries its own record.
struct heartbeat
{
    member_record self;
    /// Send time on the sender's clock; returned in the answer.
    time_point sent;
};

/// An instance in one of its incarnations.
struct instance_incarnation
{
    instance_id id;
    incarnation incarnation_number;

    bool operator==(const instance_incarnation&) const = default;
};

/// Answer of a watcher: entries and siblings of the heartbeat's sender.
struct heartbeat_answer
{
    std::vector<instance_id> entries;
    std::vector<instance_incarnation> siblings;
    /// The watcher's record of the receiver.
    member_record known;
    /// Send time of the heartbeat that is answered.
    time_point heartbeat_sent;
};

/// Membership records that changed.
struct gossip_message
{
    std::vector<member_record> records;
};

/// Number of buckets in the digest of a member table.
constexpr std::size_t digest_buckets = 64;

/// Digest of the sender's member table, for anti-entropy.
struct digest_message
{
    /// True if sent in answer to a digest; an answer is not answered.
    bool is_answer = false;
    std::array<std::uint64_t, digest_buckets> buckets{};
};

/// Requests the configuration document.
struct config_request
{
};

/// A configuration document in JSON form.
struct config_push
{
    std::string document;
};

/// Hands a watch over to a sibling.
struct watch_handoff
{
    /// Id of this hand-over; returned in the acknowledgement.
    std::uint32_t handoff_id = 0;
    flow_key flow;
    instance_id entry;
    /// Last Observe value and message id sent to the caller.
    std::uint32_t observe = 0;
    std::uint16_t message_id = 0;
    /// The registration request, encoded as CoAP.
    bytes request;
};

/// Acknowledges a watch that was handed over.
struct watch_handoff_ack
{
    std::uint32_t handoff_id = 0;
};

/// 128-bit digest of a request's identity.
struct request_digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_digest&) const = default;
};

/// Execution record of a stopping companion.
struct retired_request
{
    request_digest digest;
    /// Companion to which the request was transferred; an id of zero: none.
    instance_incarnation transferred_to;
    /// The final answer, encoded as CoAP; empty if it was transferred.
    bytes answer;

    bool operator==(const retired_request&) const = default;
};

/// One part of the execution records of a stopping companion. A request under
/// one of its Echo values that is in no part has not been executed there and
/// never will be.
struct retirement_message
{
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    /// On the sender's clock, like the issue times in its Echo values.
    time_point retired_at;
    std::vector<retired_request> requests;
};

/// Acknowledges one part.
struct retirement_ack
{
    std::uint16_t part = 0;
};

/// Every message of the internal protocol.
using internal_message = std::variant<
    forward_message,
    forward_ack,
    reply_message,
    flow_query,
    flow_query_answer,
    heartbeat,
    heartbeat_answer,
    gossip_message,
    digest_message,
    config_request,
    config_push,
    watch_handoff,
    watch_handoff_ack,
    retirement_message,
    retirement_ack>;

} // namespace masticslip
