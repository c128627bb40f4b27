#include "masticslip/core/detail/acknowledged_relay.hpp"

#include "libcoap_codec.hpp"
#include "support/null_outputs.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>

namespace
{

using namespace masticslip;
using namespace masticslip::detail;
using namespace std::chrono_literals;

class counting_output final : public testing::null_companion_output
{
public:
    void send(instance_id, const internal_message& message) override
    {
        const auto* packet = std::get_if<forward_message>(&message);
        this->sent += packet != nullptr ? 1 : 0;
        this->tracked += packet != nullptr && packet->sequence != 0 ? 1 : 0;
    }

    std::size_t sent = 0;
    /// Packets that ask for an acknowledgement.
    std::size_t tracked = 0;
};

class null_receiver final : public flow_receiver
{
public:
    void on_owned_packet(time_point, const forward_message&) override
    {
    }
};

struct relay_fixture
{
    static companion_settings make_settings()
    {
        companion_settings settings;
        settings.service = "meetups";
        settings.failure_domain = "a";
        settings.keys = {shared_key{1, 2, 3}};
        return settings;
    }

    counting_output output;
    testing::null_event_sink sink;
    libcoap_codec codec;
    companion_context context{
        make_settings(), this->output, this->sink, this->codec};
    null_receiver receiver;
    ownership_controller ownership{this->context, this->receiver};
    std::size_t failures = 0;
    acknowledged_relay relay{
        this->ownership, [this](time_point, const forward_message&)
        {
            ++this->failures;
        }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(acknowledged_relay_limit)

BOOST_FIXTURE_TEST_CASE(packets_above_it_are_sent_once, relay_fixture)
{
    constexpr std::size_t limit = 4096;
    constexpr std::size_t packets = limit + 10;
    const time_point start(1s);
    for (std::size_t i = 0; i < packets; ++i)
    {
        this->relay.send(start, {}, {}, forward_mode::bound);
    }
    BOOST_TEST(this->output.sent == packets);
    BOOST_TEST(this->output.tracked == limit);

    for (auto now = start; now < start + 1s; now += 100ms)
    {
        this->relay.on_tick(now);
    }
    BOOST_TEST(this->output.sent == packets + 2 * limit);
    BOOST_TEST(this->failures == limit);
}

BOOST_AUTO_TEST_SUITE_END()
