#pragma once
/// Decides whether a flow whose owner an entry does not know is lost.
///
/// Load pattern: after a restart, or after companions have departed, an entry
/// receives packets of flows that it cannot assign. Without a reset their
/// callers wait for a time-out; a reset of a flow that an upstream still holds
/// cuts off its requests. Absence of information is therefore no evidence.
///
///     loss_evidence evidence;
///     evidence.absent = 3;
///     if (judge_flow_loss(evidence) == loss_verdict::reset)
///         reset_caller();

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace masticslip
{

/// What is known of the owner of a flow that is looked up. A later value
/// prevails over an earlier one.
enum class owner_state : std::uint8_t
{
    unknown,
    /// The owner has reported its departure.
    departed,
    /// There is an owner that cannot be queried.
    unreachable
};

/// What a lookup has found. The numbers count companions of the services that
/// may hold the flow and that are present.
struct loss_evidence
{
    owner_state owner = owner_state::unknown;
    bool is_list_read = false;
    /// No companion can exist that the entry does not know.
    bool are_all_known = false;
    /// A companion has reported a newer policy than that of the entry. The
    /// route may name another service there.
    bool is_newer_policy_known = false;
    /// The caller has sent data in the flow. A packet without data may be the
    /// last acknowledgement of a flow that has ended.
    bool has_payload = false;
    /// Answered that they do not hold the flow.
    std::size_t absent = 0;
    /// Have not been queried.
    std::size_t unasked = 0;
    /// Were queried and have not answered.
    std::size_t unanswered = 0;
    /// Answered that they cannot tell.
    std::size_t uncertain = 0;
};

/// Either the reset of the caller or the first reason against it.
enum class loss_verdict : std::uint8_t
{
    reset,
    list_not_read,
    companion_not_asked,
    companion_unanswered,
    companion_uncertain,
    not_all_companions_known,
    owner_not_reachable,
    newer_policy_not_fetched,
    no_payload
};

/// A departed owner needs no other evidence than that of the companions that
/// were asked; otherwise every companion must be known and must have denied the
/// flow.
[[nodiscard]] loss_verdict judge_flow_loss(const loss_evidence& evidence);

/// Stable name for logs; `none` for a reset.
[[nodiscard]] std::string_view to_string(loss_verdict verdict);

/// Stable name for logs.
[[nodiscard]] std::string_view to_string(owner_state state);

} // namespace masticslip
