#include "masticslip/wire/message_codec.hpp"

#include "masticslip/wire/replay_window.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
namespace data = boost::unit_test::data;

const shared_key first_key{1, 1, 1};
const shared_key second_key{2, 2, 2};
const wire_identity sender_identity{{100}, {7}};
const wire_identity receiver_identity{{200}, {8}};

bytes to_bytes(byte_view view)
{
    return {view.begin(), view.end()};
}

result_code decode_code(message_codec& receiver, const bytes& datagram)
{
    failure_reason reason;
    return receiver.decode(datagram, reason) ? result_code::done : reason.code;
}

struct fixture
{
    message_codec sender{sender_identity, {first_key}};
    message_codec receiver{receiver_identity, {first_key}};

    bytes encode(const internal_message& message)
    {
        return to_bytes(this->sender.encode({200}, 12, message));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(message_codec_datagram, fixture)

BOOST_AUTO_TEST_CASE(forward_message_survives_a_round_trip)
{
    const bytes payload{1, 2, 3, 255};
    forward_message message;
    message.flow = {{0x7f000001, 4000}, {9}};
    message.entry = {55};
    message.mode = forward_mode::transfer;
    message.hops = 3;
    message.sequence = 42;
    message.target_incarnation = {1234567890123ULL};
    message.moves_flow = true;
    message.trace = {1, 2, 3};
    message.candidates.add({10});
    message.candidates.add({11});
    message.payload = payload;
    const bytes datagram = this->encode(message);
    failure_reason reason;

    const auto received = this->receiver.decode(datagram, reason);

    BOOST_REQUIRE_MESSAGE(received, reason.text);
    BOOST_TEST(received->header.generation_in_force == 12U);
    BOOST_TEST((received->header.sender == instance_id{100}));
    const auto& body = std::get<forward_message>(received->body);
    BOOST_TEST((body.flow == message.flow));
    BOOST_TEST((body.mode == forward_mode::transfer));
    BOOST_TEST(body.sequence == 42U);
    BOOST_TEST((body.target_incarnation == message.target_incarnation));
    BOOST_TEST(body.moves_flow);
    BOOST_TEST(body.trace.parent_span == 3U);
    BOOST_TEST(body.candidates.count == 2);
    BOOST_TEST((body.candidates.ids[1] == instance_id{11}));
    BOOST_TEST((to_bytes(body.payload) == payload));
}

BOOST_AUTO_TEST_CASE(every_kind_of_message_survives_a_round_trip)
{
    member_record record;
    record.id = {3};
    record.name = "meetups-0";
    record.failure_domain = "kgl-nyr";
    record.state = member_state::suspect;
    heartbeat_answer answer;
    answer.entries = {{1}, {2}};
    answer.siblings = {{{3}, {4}}};
    answer.known = record;
    const internal_message messages[] = {
        forward_message{},
        forward_ack{1},
        reply_message{},
        flow_query{},
        flow_query_answer{},
        heartbeat{record, time_point(duration(5))},
        answer,
        gossip_message{{record, record}},
        digest_message{},
        config_request{},
        config_push{"{}"},
        watch_handoff{},
        watch_handoff_ack{9},
        retirement_message{0, 1, {}, {{{1, 2}, {{3}, {4}}, {5}}}},
        retirement_ack{0}};
    static_assert(std::size(messages) == std::variant_size_v<internal_message>);
    for (const auto& message : messages)
    {
        const bytes datagram = this->encode(message);
        failure_reason reason;
        const auto received = this->receiver.decode(datagram, reason);
        BOOST_REQUIRE_MESSAGE(
            received, "kind " << message.index() << ": " << reason.text);
        BOOST_TEST(received->body.index() == message.index());
    }
}

BOOST_AUTO_TEST_CASE(rejects_a_changed_byte_at_any_offset)
{
    const bytes datagram = this->encode(forward_ack{7});
    for (std::size_t i = 0; i < datagram.size(); ++i)
    {
        bytes forged = datagram;
        forged[i] ^= 1U;
        BOOST_TEST(
            (decode_code(this->receiver, forged) ==
             result_code::dropped_unauthentic),
            "offset " << i);
    }
}

BOOST_AUTO_TEST_CASE(rejects_a_datagram_truncated_at_any_size)
{
    const bytes datagram = this->encode(forward_ack{7});
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        const bytes truncated(
            datagram.begin(),
            datagram.begin() + static_cast<std::ptrdiff_t>(size));
        BOOST_TEST(
            (decode_code(this->receiver, truncated) != result_code::done),
            "size " << size);
    }
}

BOOST_AUTO_TEST_CASE(rejects_a_replayed_datagram)
{
    const bytes datagram = this->encode(forward_ack{7});
    BOOST_TEST((decode_code(this->receiver, datagram) == result_code::done));
    BOOST_TEST(
        (decode_code(this->receiver, datagram) ==
         result_code::dropped_replayed));
}

BOOST_AUTO_TEST_CASE(rejects_a_datagram_for_another_receiver)
{
    const bytes datagram =
        to_bytes(this->sender.encode({201}, 12, forward_ack{7}));
    BOOST_TEST(
        (decode_code(this->receiver, datagram) ==
         result_code::dropped_unauthentic));
}

BOOST_AUTO_TEST_CASE(rejects_an_earlier_incarnation_of_a_known_sender)
{
    message_codec restarted({{100}, {9}}, {first_key});
    const bytes old = this->encode(forward_ack{7});
    const bytes newer = to_bytes(restarted.encode({200}, 12, forward_ack{8}));
    BOOST_TEST((decode_code(this->receiver, newer) == result_code::done));
    BOOST_TEST(
        (decode_code(this->receiver, old) == result_code::dropped_replayed));
}

BOOST_AUTO_TEST_CASE(accepts_both_keys_during_a_key_rotation)
{
    message_codec with_new_key({{300}, {1}}, {second_key, first_key});
    message_codec receiver({{200}, {8}}, {second_key, first_key});
    message_codec without_new_key({{200}, {8}}, {first_key});
    const bytes old = this->encode(forward_ack{7});
    const bytes newer =
        to_bytes(with_new_key.encode({200}, 12, forward_ack{8}));
    BOOST_TEST((decode_code(receiver, old) == result_code::done));
    BOOST_TEST((decode_code(receiver, newer) == result_code::done));
    BOOST_TEST(
        (decode_code(without_new_key, newer) ==
         result_code::dropped_unauthentic));
}

BOOST_AUTO_TEST_CASE(returns_an_empty_view_for_an_oversized_message)
{
    const std::string document(max_datagram + 1, 'x');
    BOOST_TEST(this->sender.encode({200}, 1, config_push{document}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(replay_window_numbers)

BOOST_AUTO_TEST_CASE(accepts_each_number_once_in_any_order)
{
    replay_window window;
    BOOST_TEST(window.accept({1}, 5));
    BOOST_TEST(window.accept({1}, 3));
    BOOST_TEST(!window.accept({1}, 3));
    BOOST_TEST(!window.accept({1}, 5));
    BOOST_TEST(window.accept({1}, 200));
    BOOST_TEST(!window.accept({1}, 100));
    BOOST_TEST(window.accept({2}, 1));
    BOOST_TEST(!window.accept({1}, 300));
}

BOOST_AUTO_TEST_SUITE_END()
