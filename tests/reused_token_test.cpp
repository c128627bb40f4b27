// A caller uses a token of the same port again: an answer to a former request,
// late or sent twice, is never taken for that to the present one.

#include "support/virtual_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

/// Two requests with the same token; the upstream answers the former "ok" and
/// the present one "board".
struct reuse_case
{
    const char* name;
    coap_type type;
    coap_code former;
    coap_code present;
    bool has_request_tag;
    /// Time after the former request at which the present one is sent. The
    /// former takes 100 ms.
    duration pause;
    /// Time after the present request at which a copy of the former arrives.
    duration copy_after;
};

std::ostream& operator<<(std::ostream& out, const reuse_case& item)
{
    return out << item.name;
}

constexpr auto con = coap_type::confirmable;
constexpr auto non = coap_type::non_confirmable;

const reuse_case reuse_cases[] = {
    {"safe_after_safe", con, coap_code::get, coap_code::get, false, 2s, 5ms},
    {"safe_while_safe_runs", con, coap_code::get, coap_code::get, false, 50ms,
     5ms},
    {"unsafe_after_unsafe", con, coap_code::post, coap_code::post, false, 2s,
     5ms},
    {"unsafe_while_unsafe_runs", con, coap_code::post, coap_code::post, false,
     50ms, 5ms},
    {"unsafe_after_unsafe_with_tags", con, coap_code::post, coap_code::post,
     true, 2s, 5ms},
    {"unsafe_while_unsafe_runs_with_tags", con, coap_code::post,
     coap_code::post, true, 50ms, 5ms},
    {"unsafe_after_safe", con, coap_code::get, coap_code::post, false, 2s, 5ms},
    {"safe_while_unsafe_runs", con, coap_code::post, coap_code::get, false,
     50ms, 5ms},
    {"non_confirmable_after", non, coap_code::get, coap_code::get, false, 2s,
     5ms},
    {"non_confirmable_while_running", non, coap_code::get, coap_code::get,
     false, 50ms, 5ms},
    {"non_confirmable_unsafe_after", non, coap_code::post, coap_code::post,
     false, 2s, 5ms},
    {"non_confirmable_unsafe_while_running", non, coap_code::post,
     coap_code::post, true, 50ms, 5ms}};

/// Caller 0 of a fleet, which has an Echo value.
class token_caller
{
public:
    token_caller(virtual_fleet& fleet, const reuse_case& item)
        : fleet(fleet), item(item)
    {
        fleet.on_delivery =
            [this](std::size_t caller, const coap_message& message)
        {
            if (caller == 0)
            {
                this->receive(message);
            }
        };
    }

    coap_message make(bool is_former) const
    {
        coap_message request;
        request.type = this->item.type;
        request.code = is_former ? this->item.former : this->item.present;
        request.message_id = is_former ? 500 : 501;
        request.token = {7};
        request.add_text(
            coap_option_number::uri_path, is_former ? "signup" : "board");
        if (this->item.has_request_tag)
        {
            request.set(
                coap_option_number::request_tag,
                {static_cast<std::uint8_t>(is_former ? 1 : 2)});
        }
        if (is_former)
        {
            request.payload = {'0'};
        }
        if (request.is_non_idempotent())
        {
            request.set(coap_option_number::echo, this->fleet.echo_of(0));
        }
        return request;
    }

    void send(const coap_message& request)
    {
        this->fleet.inject(0, 0, libcoap_codec().encode(request));
    }

    /// Sends the present request until it is answered. Repeats of a
    /// non-confirmable one have a message id of their own.
    void send_present()
    {
        coap_message request = this->make(false);
        this->expected_id = request.message_id;
        for (int i = 0; i < 12 && !this->answer; ++i)
        {
            this->send(request);
            this->fleet.run_for(this->item.copy_after);
            if (i == 0)
            {
                this->send(this->make(true));
            }
            this->fleet.run_for(500ms);
            request.message_id += this->item.type == non ? 1 : 0;
        }
    }

    std::optional<coap_message> answer;

private:
    /// Takes what RFC 7252, section 5.3.2, matches to the present request.
    void receive(const coap_message& message)
    {
        const bool is_awaited =
            this->expected_id && !this->answer && message.token == bytes{7};
        const bool is_matching = message.type != coap_type::acknowledgement ||
                                 message.message_id == this->expected_id;
        if (is_awaited && is_matching)
        {
            this->answer = message;
        }
    }

    virtual_fleet& fleet;
    const reuse_case& item;
    std::optional<std::uint16_t> expected_id;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reused_token)

BOOST_DATA_TEST_CASE(
    the_present_request_never_gets_the_answer_of_the_former,
    data::make(reuse_cases) * data::xrange(5),
    item,
    seed)
{
    virtual_options options;
    options.seed = static_cast<std::uint64_t>(seed) + 40;
    options.service_time = 100ms;
    virtual_fleet fleet(options);
    fleet.run_for(3s);
    fleet.post(0);
    fleet.run_for(2s);
    // Copies between instances; a late datagram to a caller is out of reach.
    fleet.set_faults(
        {item.type == con ? 0.05 : 0.0, 0.5, 200us,
         item.type == con ? 80ms : 800us});
    token_caller caller(fleet, item);

    caller.send(caller.make(true));
    fleet.run_for(item.pause);
    caller.send_present();

    BOOST_REQUIRE(caller.answer.has_value());
    BOOST_TEST(
        std::string(
            caller.answer->payload.begin(), caller.answer->payload.end()) ==
        "board");
}

BOOST_AUTO_TEST_SUITE_END()
