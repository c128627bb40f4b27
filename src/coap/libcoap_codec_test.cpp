#include "libcoap_codec.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
namespace data = boost::unit_test::data;

struct malformed_datagram
{
    const char* name;
    bytes octets;
};

std::ostream& operator<<(std::ostream& out, const malformed_datagram& item)
{
    return out << item.name;
}

const malformed_datagram malformed_datagrams[] = {
    {"empty", {}},
    {"three_octets", {0x40, 0x01, 0x00}},
    {"wrong_version", {0x80, 0x01, 0x00, 0x01}},
    {"token_too_long", {0x49, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9}},
    {"token_cut_short", {0x44, 0x01, 0x00, 0x01, 0x01}},
    {"option_cut_short", {0x40, 0x01, 0x00, 0x01, 0xb5, 'a'}},
    {"reserved_option_length", {0x40, 0x01, 0x00, 0x01, 0xbf, 'a'}},
    {"marker_without_payload", {0x40, 0x01, 0x00, 0x01, 0xff}},
    {"empty_message_with_token", {0x41, 0x00, 0x00, 0x01, 0x01}},
    {"reset_with_code", {0x70, 0x01, 0x00, 0x01}},
    {"reserved_code_class", {0x40, 0x3f, 0x00, 0x01}}};

} // namespace

BOOST_AUTO_TEST_SUITE(libcoap_codec_datagram)

BOOST_AUTO_TEST_CASE(message_survives_a_round_trip)
{
    const libcoap_codec codec;
    coap_message message;
    message.type = coap_type::confirmable;
    message.code = coap_code::post;
    message.message_id = 0xabcd;
    message.token = {1, 2, 3, 4};
    message.add_text(coap_option_number::uri_path, "signup");
    message.add_text(coap_option_number::uri_path, "walks");
    message.set_uint(coap_option_number::observe, 0);
    message.set(coap_option_number::echo, bytes(40, 7));
    message.set(coap_option_number::request_tag, {9, 9});
    message.set_uint(coap_option_number::deadline, 10'000);
    message.payload = {'d', 'o', 'g'};

    const auto decoded = codec.decode(codec.encode(message));

    BOOST_REQUIRE(decoded);
    BOOST_TEST((*decoded == message));
    BOOST_TEST(decoded->path() == "/signup/walks");
    BOOST_TEST(
        decoded->find_uint(coap_option_number::deadline).value() == 10'000U);
}

BOOST_DATA_TEST_CASE(
    refuses_malformed_datagrams, data::make(malformed_datagrams), item)
{
    const libcoap_codec codec;
    BOOST_TEST(!codec.decode(item.octets));
}

BOOST_AUTO_TEST_SUITE_END()
