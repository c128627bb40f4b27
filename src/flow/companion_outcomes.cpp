// Outcomes of requests at the companion's upstream.

#include "masticslip/flow/companion_flow_core.hpp"

#include "masticslip/flow/detail/sequence_window.hpp"
#include "masticslip/flow/upstream_outliers.hpp"

#include <algorithm>

namespace masticslip
{

namespace
{

/// A request without an answer after this many times the lowest target latency
/// of its service counts as failed: its caller has little use for the answer.
constexpr int overdue_targets = 2;
/// The same where no route states a target.
constexpr std::chrono::seconds default_overdue_limit{1};

} // namespace

bool companion_flow_core::ends_unanswered(
    const flow_record& flow, const flow_packet& packet)
{
    const bool is_waiting = flow.awaits_answer && flow.accepted &&
                            !flow.caller_closed && !flow.is_overdue;
    // A closing packet may overtake the answer, and then leaves a gap in the
    // sequence for it.
    const bool has_sent_nothing =
        detail::sequence_distance(flow.first_sequence, packet.sequence) <= 1;
    return is_waiting && packet.payload_size == 0 &&
           (packet.flags.resets || (packet.flags.closes && has_sent_nothing));
}

void companion_flow_core::on_failed_request(time_point now)
{
    // An upstream that leaves receives no new flows anyway.
    if (this->monitor.refusal(now) == result_code::not_run_upstream_leaving)
    {
        return;
    }
    this->outcomes.on_failed(now);
    this->report_failures(now);
}

void companion_flow_core::count_overdue_requests(time_point now)
{
    const duration target = this->fastest_target();
    const duration limit = target.count() == 0 ? duration(default_overdue_limit)
                                               : target * overdue_targets;
    for (auto& [key, flow] : this->flows)
    {
        const bool is_waiting =
            flow.awaits_answer && !flow.is_reserved && !flow.is_overdue;
        // Answers from before the end of a freeze may still be unread.
        const time_point since =
            std::max(flow.request_at, this->observing_since);
        if (is_waiting && flow.request_at != time_point{} &&
            now - since > limit)
        {
            flow.is_overdue = true;
            this->on_failed_request(now);
        }
    }
}

void companion_flow_core::report_failures(time_point now)
{
    const outcome_counts recent = this->outcomes.recent(now);
    const bool is_failing = recent.failed >= min_outlier_failures;
    if (is_failing == this->was_failing)
    {
        return;
    }
    this->was_failing = is_failing;
    this->emit(
        now, flow_event_kind::upstream_changed, {}, {},
        this->monitor.refusal(now),
        std::string(is_failing ? "requests_fail" : "requests_succeed") +
            " failed=" + std::to_string(recent.failed) +
            " answered=" + std::to_string(recent.answered));
    this->send_reports(now);
}

} // namespace masticslip
