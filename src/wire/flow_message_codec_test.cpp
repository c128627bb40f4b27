// Checks that layer-4 control messages survive a round trip and that truncated
// or incompatible datagrams are rejected.

#include "masticslip/wire/flow_message_codec.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;

namespace
{

const flow_endpoints flow{{1, 2}, {3, 4}};
const upstream_load load{
    3,
    40,
    5,
    result_code::not_run_upstream_cold,
    true,
    2,
    std::chrono::microseconds(31'000),
    17,
    96,
    true,
    {51, 3},
    8};

const policy_mark mark{{3, 77}, 2, 9, 11, 12};

const std::vector<flow_message> messages{
    entry_hello{mark, false, 7, 8, {21, 22}, std::chrono::milliseconds(1'250)},
    companion_report{
        "side-1",
        "meetups",
        "kgl-nyr",
        {5, 6},
        load,
        mark,
        4,
        true,
        true,
        7,
        8,
        true,
        {23, 24},
        {{0xC6120001, 443}, {0xC6120002, 8'443}},
        true,
        std::chrono::milliseconds(480),
        2},
    flow_opened{flow, 99, load},
    flow_refused{flow, result_code::not_run_overloaded, load},
    owner_query{flow, 12},
    owner_answer{flow, ownership::uncertain, {99}, 13},
    packet_returned{bytes(1'232, 7)},
    owner_hint{flow, {98}}};

} // namespace

BOOST_AUTO_TEST_SUITE(flow_message_codec)

BOOST_DATA_TEST_CASE(
    every_message_survives_a_round_trip,
    boost::unit_test::data::xrange(messages.size()),
    index)
{
    failure_reason reason;
    const bytes datagram = encode_flow_message(messages[index]);
    const auto decoded = decode_flow_message(datagram, reason);
    BOOST_REQUIRE_MESSAGE(decoded.has_value(), reason.text);
    BOOST_TEST(decoded->index() == index);
    BOOST_TEST(
        encode_flow_message(*decoded) == datagram,
        boost::test_tools::per_element());
}

BOOST_DATA_TEST_CASE(
    rejects_every_truncated_datagram,
    boost::unit_test::data::xrange(messages.size()),
    index)
{
    const bytes datagram = encode_flow_message(messages[index]);
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        failure_reason reason;
        const bytes truncated(datagram.begin(), datagram.begin() + size);
        BOOST_TEST(
            !decode_flow_message(truncated, reason),
            "accepted " << size << " of " << datagram.size() << " bytes");
    }
}

BOOST_AUTO_TEST_CASE(rejects_an_unsupported_version)
{
    bytes datagram = encode_flow_message(entry_hello{});
    datagram[1] = 99;
    failure_reason reason;
    BOOST_TEST(!decode_flow_message(datagram, reason));
}

BOOST_AUTO_TEST_SUITE_END()
