#include "masticslip/flow/flow_loss.hpp"

#include <algorithm>
#include <array>

namespace masticslip
{

namespace
{

/// In the order of owner_state.
constexpr std::array<std::string_view, 3> owner_state_names{
    "unknown", "departed", "unreachable"};

/// In the order of loss_verdict.
constexpr std::array<std::string_view, 9> loss_verdict_names{
    "none",
    "list_not_read",
    "companion_not_asked",
    "companion_unanswered",
    "companion_uncertain",
    "not_all_companions_known",
    "owner_not_reachable",
    "newer_policy_not_fetched",
    "no_payload"};

/// A reason against a reset, and whether it applies.
struct objection
{
    bool applies;
    loss_verdict reason;
};

} // namespace

loss_verdict judge_flow_loss(const loss_evidence& evidence)
{
    const bool has_departed = evidence.owner == owner_state::departed;
    const bool knows_all = evidence.are_all_known && evidence.absent != 0;
    const std::array objections{
        objection{
            !has_departed && !evidence.is_list_read,
            loss_verdict::list_not_read},
        objection{
            !has_departed && evidence.unasked != 0,
            loss_verdict::companion_not_asked},
        objection{evidence.unanswered != 0, loss_verdict::companion_unanswered},
        objection{
            !has_departed && evidence.uncertain != 0,
            loss_verdict::companion_uncertain},
        objection{
            !has_departed && !knows_all,
            loss_verdict::not_all_companions_known},
        objection{
            evidence.owner == owner_state::unreachable,
            loss_verdict::owner_not_reachable},
        objection{
            !has_departed && evidence.is_newer_policy_known,
            loss_verdict::newer_policy_not_fetched},
        objection{!evidence.has_payload, loss_verdict::no_payload}};
    const auto first = std::find_if(
        objections.begin(), objections.end(),
        [](const objection& item) { return item.applies; });
    return first == objections.end() ? loss_verdict::reset : first->reason;
}

std::string_view to_string(loss_verdict verdict)
{
    return loss_verdict_names.at(static_cast<std::size_t>(verdict));
}

std::string_view to_string(owner_state state)
{
    return owner_state_names.at(static_cast<std::size_t>(state));
}

} // namespace masticslip
