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
    {"opening", true, false, false, false, 0},
    {"data", false, true, false, false, 100},
    {"close", false, true, true, false, 0},
    {"reset_with_acknowledgement", false, true, false, true, 0},
    {"reset_without_acknowledgement", false, false, false, true, 0}};

/// State of the present flow when the late packet arrives.
enum class present_state : std::uint8_t
{
    opening_forwarded,
    accepted,
    open
};

std::ostream& operator<<(std::ostream& stream, present_state value)
{
    constexpr std::array<const char*, 3> names{
        "opening_forwarded", "accepted", "open"};
    return stream << names.at(static_cast<std::size_t>(value));
}

const std::vector<present_state> present_states{
    present_state::opening_forwarded, present_state::accepted,
    present_state::open};

struct reused_port_fixture : companion_fixture
{
    /// Opens and closes the former flow, then opens the present one up to a
    /// state.
    void reuse_port(present_state state)
    {
        this->make_ready();
        this->open(test_flow(1), at(10ms));
        flow_packet close = data_packet(test_flow(1), 1'101, 5'001, 0);
        close.flags.closes = true;
        this->core.on_caller_packet(at(20ms), entry, close);
        flow_packet answer = data_packet(test_flow(1), 5'001, 1'102);
        answer.origin = packet_origin::upstream;
        answer.flags.closes = true;
        this->core.on_upstream_packet(at(21ms), answer);
        this->core.on_caller_packet(at(30ms), entry, present_opening());
        if (state != present_state::opening_forwarded)
        {
            this->accept();
        }
        if (state == present_state::open)
        {
            this->core.on_caller_packet(at(32ms), entry, present_data(0));
        }
        this->output.sent.clear();
    }

    void accept()
    {
        this->core.on_upstream_packet(
            at(31ms), accepting_packet(test_flow(1), upstream_start));
    }

    /// The acknowledgement with which an upstream answers a packet outside its
    /// window.
    void challenge(std::chrono::milliseconds now)
    {
        flow_packet packet = data_packet(
            test_flow(1), upstream_start + 1, caller_start + 101, 0);
        packet.origin = packet_origin::upstream;
        this->core.on_upstream_packet(at(now), packet);
    }

    /// The upstream reports each second.
    void
    pass_time(std::chrono::milliseconds from, std::chrono::milliseconds until)
    {
        for (auto now = from; now < until; now += 250ms)
        {
            if (now % 1'000ms == 0ms)
            {
                const auto sequence =
                    static_cast<std::uint64_t>(now / 1'000ms + 1);
                this->core.on_status(at(now), ready_status(sequence));
            }
            this->core.on_tick(at(now));
        }
    }
};

BOOST_DATA_TEST_CASE_F(
    reused_port_fixture,
    companion_keeps_the_present_flow_after_a_late_packet_of_the_former,
    boost::unit_test::data::make(late_cases) *
        boost::unit_test::data::make(present_states),
    late,
    state)
{
    reuse_port(state);
    core.on_caller_packet(at(40ms), entry, late_packet(late));
    if (state == present_state::opening_forwarded)
    {
        accept();
    }
    challenge(41ms);
    if (state != present_state::open)
    {
        core.on_caller_packet(at(42ms), entry, present_data(0));
    }
    output.sent.clear();
    pass_time(250ms, 7'000ms);
    const std::size_t before = output.to_upstream;

    core.on_caller_packet(at(7'000ms), entry, present_data(100));
    core.on_message(
        at(7'001ms), entry, owner_query{test_flow(1), upstream_start + 1});

    BOOST_TEST(output.to_upstream == before + 1);
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
    BOOST_TEST(output.resets.empty());
    BOOST_TEST(core.load(at(7'002ms)).open_flows == 1U);
    BOOST_TEST(core.load(at(7'002ms)).in_flight == 1U);
    const auto answers = messages_of<owner_answer>(output.sent);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].answer == ownership::owned));
}

BOOST_FIXTURE_TEST_CASE(
    companion_takes_an_opening_that_the_upstream_accepts_for_a_new_flow,
    companion_fixture)
{
    make_ready();
    open(test_flow(1), at(10ms));
    flow_packet packet = opening_packet(test_flow(1));
    packet.sequence += 500'000;
    const std::size_t before = output.to_upstream;
    core.on_caller_packet(at(300ms), entry, packet);
    BOOST_TEST(output.to_upstream == before + 1);
    core.on_upstream_packet(
        at(301ms), accepting_packet(test_flow(1), 900'000'000));
    BOOST_TEST(core.load(at(301ms)).open_flows == 0U);
    BOOST_TEST(core.load(at(301ms)).in_flight == 1U);
    BOOST_TEST(messages_of<flow_opened>(output.sent).size() == 2U);
    core.on_caller_packet(
        at(302ms), entry, data_packet(test_flow(1), 501'001, 900'000'001));
    BOOST_TEST(core.load(at(302ms)).open_flows == 1U);
    BOOST_TEST(messages_of<packet_returned>(output.sent).empty());
}

BOOST_FIXTURE_TEST_CASE(
    companion_ends_an_open_flow_that_its_caller_resets_without_acknowledgement,
    reused_port_fixture)
{
    reuse_port(present_state::open);
    flow_packet reset = present_data(100);
    reset.flags = {};
    reset.flags.resets = true;
    reset.acknowledged = 0;
    reset.payload_size = 0;
    core.on_caller_packet(at(40ms), entry, reset);
    BOOST_TEST(core.load(at(41ms)).open_flows == 0U);
}

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
    answer_absent(7ms, {1, 3}, test_flow(1), first.acknowledged);

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
    answer_absent(7ms, {1, 3}, test_flow(1), upstream_sequence + 1);
    core.on_caller_packet(at(206ms), present_data(0));
    core.on_message(
        at(207ms), companion(2),
        answer_to(test_flow(1), ownership::owned, {}, upstream_start + 1));

    BOOST_REQUIRE(output.packets.size() == 2U);
    BOOST_TEST(
        to_string(output.packets[1]) == to_string(companion_packet_address(2)));
}

BOOST_AUTO_TEST_SUITE_END()
