#include "masticslip/core/detail/watch_controller.hpp"

#include "libcoap_codec.hpp"
#include "support/null_outputs.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <set>

namespace
{

using namespace masticslip;
using namespace masticslip::detail;
using namespace std::chrono_literals;

/// Keeps the packets sent to callers.
class reply_output final : public testing::null_companion_output
{
public:
    void send(instance_id, const internal_message& message) override
    {
        if (const auto* reply = std::get_if<reply_message>(&message))
        {
            this->replies.emplace_back(
                reply->payload.begin(), reply->payload.end());
        }
    }

    std::vector<bytes> replies;
};

class null_receiver final : public flow_receiver
{
public:
    void on_owned_packet(time_point, const forward_message&) override
    {
    }
};

/// One flow with two watches, each of which has sent a notification.
struct watch_fixture
{
    watch_fixture()
    {
        for (const exchange_id id : {1U, 2U})
        {
            watch_registration item;
            item.id = id;
            item.flow = this->flow;
            item.entry = this->entry;
            item.request.code = coap_code::get;
            item.request.token = {static_cast<std::uint8_t>(id)};
            this->watches.start(this->start, item);
            coap_message notification;
            notification.code = coap_code::content;
            notification.set_uint(coap_option_number::observe, 5);
            BOOST_REQUIRE(
                this->watches.on_notification(this->start, id, notification));
        }
    }

    static companion_settings make_settings()
    {
        companion_settings settings;
        settings.service = "meetups";
        settings.failure_domain = "a";
        settings.keys = {shared_key{1, 2, 3}};
        return settings;
    }

    /// Message id of the last packet.
    std::uint16_t last_id() const
    {
        return this->codec.decode(this->output.replies.back())->message_id;
    }

    const time_point start{1s};
    const flow_key flow{{0x7f000001, 4000}, make_service_id("meetups")};
    const instance_id entry{endpoint{0x0a000001, 7000}.packed()};
    reply_output output;
    testing::null_event_sink sink;
    libcoap_codec codec;
    companion_context context{
        make_settings(), this->output, this->sink, this->codec};
    null_receiver receiver;
    ownership_controller ownership{this->context, this->receiver};
    watch_controller watches{this->context, this->ownership};
};

} // namespace

BOOST_AUTO_TEST_SUITE(watch_controller_rules)

BOOST_FIXTURE_TEST_CASE(each_packet_has_its_own_message_id, watch_fixture)
{
    this->watches.terminate_all(
        this->start + 1s, result_code::watch_ended_domain_withdrawn);

    std::set<std::uint16_t> ids;
    for (const auto& packet : this->output.replies)
    {
        const auto message = this->codec.decode(packet);
        BOOST_REQUIRE(message.has_value());
        ids.insert(message->message_id);
    }
    BOOST_TEST(this->output.replies.size() == 4U);
    BOOST_TEST(ids.size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(
    a_final_notification_is_retransmitted_until_it_is_acknowledged,
    watch_fixture)
{
    coap_message final;
    final.code = coap_code::not_found;
    BOOST_REQUIRE(this->watches.on_notification(this->start, 1, final));
    BOOST_REQUIRE(
        this->watches.on_acknowledgement(this->flow, this->last_id() - 1));
    const std::uint16_t id = this->last_id();
    const std::size_t sent = this->output.replies.size();

    this->watches.on_tick(this->start + 3s);

    BOOST_REQUIRE(this->output.replies.size() == sent + 1);
    BOOST_TEST(this->last_id() == id);
}

// Without a bound the companion would send to a caller that has gone for the
// life of the process.
BOOST_FIXTURE_TEST_CASE(
    a_final_notification_is_retransmitted_at_most_four_times, watch_fixture)
{
    coap_message final;
    final.code = coap_code::not_found;
    this->watches.on_notification(this->start, 1, final);
    this->watches.on_acknowledgement(this->flow, this->last_id() - 1);
    const std::size_t sent = this->output.replies.size();
    for (auto now = 1s; now <= 300s; now += 1s)
    {
        this->watches.on_tick(this->start + now);
    }
    BOOST_TEST(this->output.replies.size() == sent + 4);
}

BOOST_FIXTURE_TEST_CASE(
    an_acknowledged_final_notification_is_not_retransmitted, watch_fixture)
{
    coap_message final;
    final.code = coap_code::not_found;
    this->watches.on_notification(this->start, 1, final);
    this->watches.on_acknowledgement(this->flow, this->last_id() - 1);
    BOOST_TEST(this->watches.on_acknowledgement(this->flow, this->last_id()));
    const std::size_t sent = this->output.replies.size();
    this->watches.on_tick(this->start + 3s);
    BOOST_TEST(this->output.replies.size() == sent);
}

// The caller has registered again: a late copy of the former watch's last
// notification would end the new one.
BOOST_FIXTURE_TEST_CASE(
    a_new_watch_ends_the_final_notification_of_the_former_one, watch_fixture)
{
    coap_message final;
    final.code = coap_code::not_found;
    this->watches.on_notification(this->start, 1, final);
    this->watches.on_acknowledgement(this->flow, this->last_id() - 1);
    watch_registration again;
    again.id = 3;
    again.flow = this->flow;
    again.entry = this->entry;
    again.request.code = coap_code::get;
    again.request.token = {1};
    this->watches.start(this->start + 1s, again);
    const std::size_t sent = this->output.replies.size();
    this->watches.on_tick(this->start + 3s);
    BOOST_TEST(this->output.replies.size() == sent);
}

BOOST_AUTO_TEST_SUITE_END()
