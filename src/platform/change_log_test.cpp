#include "platform/change_log.hpp"

#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;

std::vector<std::string> make_chain(std::size_t length)
{
    std::vector<std::string> chain;
    std::string previous;
    for (std::size_t i = 1; i <= length; ++i)
    {
        audit_record record;
        record.number = i;
        record.change_id = "c-" + std::to_string(i);
        record.operator_name = "ana";
        record.differences = {"preset in force: a -> b"};
        record.previous_hash = previous;
        chain.push_back(serialize_audit(record));
        previous = hash_text(chain.back());
    }
    return chain;
}

} // namespace

BOOST_AUTO_TEST_SUITE(change_log_chain)

BOOST_AUTO_TEST_CASE(accepts_an_intact_chain)
{
    failure_reason reason;
    BOOST_TEST(verify_chain(make_chain(5), reason).value() == 5U);
    BOOST_TEST(verify_chain({}, reason).value() == 0U);
}

BOOST_AUTO_TEST_CASE(detects_a_modified_record)
{
    auto chain = make_chain(5);
    chain[2].replace(chain[2].find("ana"), 3, "eva");
    failure_reason reason;
    BOOST_TEST(!verify_chain(chain, reason));
    BOOST_TEST(reason.text.starts_with("generation 4"), reason.text);
}

BOOST_AUTO_TEST_CASE(detects_a_removed_record)
{
    auto chain = make_chain(5);
    chain.erase(chain.begin() + 2);
    failure_reason reason;
    BOOST_TEST(!verify_chain(chain, reason));
}

BOOST_AUTO_TEST_CASE(record_survives_a_round_trip)
{
    failure_reason reason;
    const auto text = make_chain(1).front();
    const auto record = parse_audit(text, reason);
    BOOST_REQUIRE(record);
    BOOST_TEST(serialize_audit(*record) == text);
}

BOOST_AUTO_TEST_CASE(keys_sort_by_generation)
{
    BOOST_TEST(audit_key(9) < audit_key(10));
    BOOST_TEST(audit_key(99) < audit_key(100));
}

BOOST_AUTO_TEST_SUITE_END()
