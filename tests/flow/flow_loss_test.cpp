// Checks which evidence of a lookup ends a flow. Each reason against a reset
// has a case in which it is the only one, so that none of them can be dropped.

#include "masticslip/flow/flow_loss.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>

using namespace masticslip;

BOOST_AUTO_TEST_SUITE(flow_loss)

namespace
{

/// All of three companions deny the flow, and there are no others.
loss_evidence complete_evidence()
{
    loss_evidence result;
    result.is_list_read = true;
    result.are_all_known = true;
    result.has_payload = true;
    result.absent = 3;
    return result;
}

struct loss_case
{
    const char* name;
    /// Changes complete evidence.
    std::function<void(loss_evidence&)> change;
    loss_verdict verdict;
};

std::ostream& operator<<(std::ostream& stream, const loss_case& value)
{
    return stream << value.name;
}

const std::vector<loss_case> loss_cases{
    {"complete", [](loss_evidence&) {}, loss_verdict::reset},
    {"list", [](loss_evidence& item) { item.is_list_read = false; },
     loss_verdict::list_not_read},
    {"not_asked", [](loss_evidence& item) { item.unasked = 1; },
     loss_verdict::companion_not_asked},
    {"unanswered", [](loss_evidence& item) { item.unanswered = 1; },
     loss_verdict::companion_unanswered},
    {"uncertain", [](loss_evidence& item) { item.uncertain = 1; },
     loss_verdict::companion_uncertain},
    {"not_all_known", [](loss_evidence& item) { item.are_all_known = false; },
     loss_verdict::not_all_companions_known},
    {"none_has_answered", [](loss_evidence& item) { item.absent = 0; },
     loss_verdict::not_all_companions_known},
    {"unreachable_owner",
     [](loss_evidence& item) { item.owner = owner_state::unreachable; },
     loss_verdict::owner_not_reachable},
    {"newer_policy",
     [](loss_evidence& item) { item.is_newer_policy_known = true; },
     loss_verdict::newer_policy_not_fetched},
    {"no_payload", [](loss_evidence& item) { item.has_payload = false; },
     loss_verdict::no_payload},
    {"the_first_reason_is_stated",
     [](loss_evidence& item) { item = loss_evidence{}; },
     loss_verdict::list_not_read}};

} // namespace

BOOST_DATA_TEST_CASE(
    a_flow_without_a_known_owner_is_reset_only_on_complete_evidence,
    boost::unit_test::data::make(loss_cases),
    item)
{
    loss_evidence evidence = complete_evidence();
    item.change(evidence);
    BOOST_TEST(to_string(judge_flow_loss(evidence)) == to_string(item.verdict));
}

/// The owner has departed and nothing else is known.
const std::vector<loss_case> departed_cases{
    {"nothing_else", [](loss_evidence&) {}, loss_verdict::reset},
    {"not_asked", [](loss_evidence& item) { item.unasked = 1; },
     loss_verdict::reset},
    {"uncertain", [](loss_evidence& item) { item.uncertain = 1; },
     loss_verdict::reset},
    {"newer_policy",
     [](loss_evidence& item) { item.is_newer_policy_known = true; },
     loss_verdict::reset},
    {"unanswered", [](loss_evidence& item) { item.unanswered = 1; },
     loss_verdict::companion_unanswered},
    {"no_payload", [](loss_evidence& item) { item.has_payload = false; },
     loss_verdict::no_payload}};

BOOST_DATA_TEST_CASE(
    a_flow_of_a_departed_owner_needs_no_other_evidence,
    boost::unit_test::data::make(departed_cases),
    item)
{
    loss_evidence evidence;
    evidence.owner = owner_state::departed;
    evidence.has_payload = true;
    item.change(evidence);
    BOOST_TEST(to_string(judge_flow_loss(evidence)) == to_string(item.verdict));
}

BOOST_AUTO_TEST_SUITE_END()
