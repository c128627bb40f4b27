// A caller opens a new flow from the port of a former one: late packets of the
// former flow do not disturb the present one.

#include "companion_fixture.hpp"
#include "entry_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace masticslip;
using namespace masticslip::test;

BOOST_AUTO_TEST_SUITE(reused_port)

/// First sequence numbers of the present flow. Those of the former are the
/// defaults of the fixtures: 1'000 of the caller, 5'000 of the upstream.
constexpr std::uint32_t caller_start = 50'001'000;
constexpr std::uint32_t upstream_start = 900'005'000;

flow_packet present_opening()
{
    flow_packet packet = opening_packet(test_flow(1));
    packet.sequence = caller_start;
    return packet;
}

flow_packet present_data(std::uint32_t offset)
{
    return data_packet(
        test_flow(1), caller_start + 1 + offset, upstream_start + 1);
}

/// A late packet of the former flow.
struct late_case
{
    const char* name;
    bool opens;
    bool acknowledges;
    bool closes;
    bool resets;
    std::uint16_t size;
};

std::ostream& operator<<(std::ostream& stream, const late_case& value)
{
    return stream << value.name;
}

flow_packet late_packet(const late_case& item)
{
    if (item.opens)
    {
        return opening_packet(test_flow(1));
    }
    flow_packet packet =
        data_packet(test_flow(1), 1'101, upstream_sequence + 1, item.size);
    packet.flags.acknowledges = item.acknowledges;
    packet.flags.closes = item.closes;
    packet.flags.resets = item.resets;
    packet.acknowledged = item.acknowledges ? packet.acknowledged : 0;
    return packet;
}

const std::vector<late_case> late_cases{
    {"data", false, true, false, false, 100},
    {"close", false, true, true, false, 0},
    {"reset_with_acknowledgement", false, true, false, true, 0},
    {"reset_without_acknowledgement", false, false, false, true, 0}};

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    entry_forwards_the_present_flow_after_a_late_packet_of_the_former,
    boost::unit_test::data::make(late_cases),
    late)
{
    make_ready(3);
    core.on_caller_packet(at(1ms), present_opening());
    core.on_message(at(3ms), companion(2), flow_opened{test_flow(1), 1, {}});
    core.on_caller_packet(at(4ms), present_data(0));
    core.on_caller_packet(at(5ms), late_packet(late));
    core.on_caller_packet(at(6ms), present_data(100));

    BOOST_TEST(output.resets.empty());
    BOOST_REQUIRE(output.packets.size() == 4U);
    for (std::size_t i = 1; i < output.packets.size(); ++i)
    {
        BOOST_TEST(
            to_string(output.packets[i]) ==
            to_string(companion_packet_address(2)));
    }
}

BOOST_DATA_TEST_CASE_F(
    entry_fixture,
    entry_resets_only_the_flow_whose_owner_was_looked_up,
    boost::unit_test::data::make({false, true}),
    present_is_first)
{
    make_ready(3);
    core.on_caller_packet(at(1ms), present_opening());
    core.on_message(at(3ms), companion(2), flow_opened{test_flow(1), 1, {}});
    const flow_packet late =
        data_packet(test_flow(1), 1'101, upstream_sequence + 1);
    const flow_packet present = present_data(0);
    const flow_packet& first = present_is_first ? present : late;
    core.on_returned_packet(at(5ms), companion(2), first);
    core.on_caller_packet(at(6ms), present_is_first ? late : present);
    answer_absent(7ms, {1, 3}, test_flow(1));

    BOOST_TEST(
        output.reset_sequences ==
            std::vector<std::uint32_t>{first.acknowledged},
        boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(
    entry_finds_the_owner_again_after_data_of_the_former_flow_is_returned,
    entry_fixture)
{
    make_ready(3);
    core.on_caller_packet(at(1ms), present_opening());
    core.on_message(at(3ms), companion(2), flow_opened{test_flow(1), 1, {}});
    core.on_returned_packet(
        at(5ms), companion(2),
        data_packet(test_flow(1), 1'101, upstream_sequence + 1));
    core.on_caller_packet(at(6ms), present_data(0));
    answer_absent(7ms, {1, 3}, test_flow(1));
    core.on_caller_packet(at(206ms), present_data(0));
    core.on_message(
        at(207ms), companion(2), owner_answer{test_flow(1), ownership::owned});

    BOOST_REQUIRE(output.packets.size() == 2U);
    BOOST_TEST(
        to_string(output.packets[1]) == to_string(companion_packet_address(2)));
}

BOOST_AUTO_TEST_SUITE_END()
