// Parsing of log lines and merging of the logs of several processes.

#include "log_story.hpp"

#include <boost/test/unit_test.hpp>

using namespace masticslip;

BOOST_AUTO_TEST_SUITE(log_story_tests)

BOOST_AUTO_TEST_CASE(reads_plain_and_quoted_fields)
{
    const auto fields =
        parse_log_fields(R"(event=x reason="a \"b\" c" empty="" last=9)");
    BOOST_TEST(fields.at("event") == "x");
    BOOST_TEST(fields.at("reason") == "a \"b\" c");
    BOOST_TEST(fields.at("empty").empty());
    BOOST_TEST(fields.at("last") == "9");
}

BOOST_AUTO_TEST_CASE(reads_times)
{
    BOOST_TEST(
        parse_log_time("1970-01-02T00:00:01.000005").count() == 86'401'000'005);
    BOOST_TEST(parse_log_time("yesterday").count() < 0);
}

BOOST_AUTO_TEST_CASE(merges_processes_in_order_of_time)
{
    log_story story;
    story.add(
        "a.log", "time=2026-01-01T00:00:00.000000 level=info event=started "
                 "process=front-1 control=1.1.1.1:1\n"
                 "time=2026-01-01T00:00:02.000000 level=info event=flow_opened "
                 "flow=c>t\n");
    story.add(
        "b.log", "side-1 time=2026-01-01T00:00:01.000000 level=info "
                 "event=flow_refused flow=c>t\nno time here\n"
                 "side-1 time=2026-01-01T00:00:01.500000 level=info "
                 "event=flow_refused flow=other\n");
    const auto records = story.flow_records("c>t");
    BOOST_REQUIRE(records.size() == 2U);
    BOOST_TEST(records[0].process == "side-1");
    BOOST_TEST(records[1].process == "front-1");
    BOOST_TEST(story.skipped() == 1U);
}

BOOST_AUTO_TEST_CASE(reports_clock_skew)
{
    log_story story;
    story.add(
        "side",
        "side-1 time=2026-01-01T00:00:00.000000 event=started process=side-1 "
        "control=2.2.2.2:2\n"
        "side-1 time=2026-01-01T00:00:01.000000 event=flow_opened flow=c>t\n");
    story.add(
        "front",
        "front-1 time=2026-01-01T00:00:01.250000 event=flow_placed flow=c>t "
        "peer=2.2.2.2:2\n");
    const auto records = story.flow_records("c>t");
    const auto differences = story.clock_skews(records);
    BOOST_REQUIRE(differences.size() == 1U);
    BOOST_TEST(differences[0].receiver == "side-1");
    BOOST_TEST(differences[0].minimum.count() == 250'000);
}

BOOST_AUTO_TEST_CASE(finds_a_policy_by_version_or_revision)
{
    log_story story;
    story.add(
        "front",
        "front-1 time=2026-01-01T00:00:01.000000 event=policy_read "
        "revision=70 version=9\n"
        "front-1 time=2026-01-01T00:00:01.000001 event=policy_in_force "
        "policy=70\n"
        "side-1 time=2026-01-01T00:00:01.200000 event=policy_in_force "
        "policy=70\n"
        "side-1 time=2026-01-01T00:00:01.300000 event=policy_in_force "
        "policy=71\n");
    BOOST_TEST(story.policy_records("9").size() == 3U);
    BOOST_TEST(story.policy_records("70").size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
