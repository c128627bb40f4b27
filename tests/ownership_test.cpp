// Flow ownership without consensus among entries, under faults.

#define BOOST_TEST_MODULE ownership
#include "support/null_outputs.hpp"
#include "support/virtual_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

constexpr duration notify_interval = 250ms;

/// Advances time while the observed resource changes at a fixed interval.
void run_with_notifications(virtual_fleet& fleet, duration span)
{
    for (duration passed{}; passed < span; passed += notify_interval)
    {
        fleet.publish();
        fleet.run_for(notify_interval);
    }
}

void start_watches(virtual_fleet& fleet, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        fleet.watch(i);
        fleet.run_for(100ms);
    }
}

/// Watches that ended or had a gap between notifications above the limit.
std::size_t
count_broken(const virtual_fleet& fleet, std::size_t callers, duration limit)
{
    std::size_t broken = 0;
    for (std::size_t i = 0; i < callers; ++i)
    {
        const watch_state& watch = fleet.watch_of(i);
        const duration gap =
            std::max(watch.longest_gap, fleet.now() - watch.last_notification);
        broken += watch.ended || !watch.established || gap > limit ? 1 : 0;
    }
    return broken;
}

virtual_options watch_options(std::uint64_t seed)
{
    virtual_options options;
    options.entries = 4;
    options.companions = 6;
    options.callers = 24;
    options.seed = seed;
    options.faults = {0.02, 0.02, 200us, 5ms};
    return options;
}

/// Records the internal messages of a companion and its packets to the
/// upstream.
class recording_output final : public null_companion_output
{
public:
    void send(instance_id to, const internal_message& message) override
    {
        if (std::holds_alternative<flow_query>(message))
        {
            this->query = std::get<flow_query>(message);
        }
        if (std::holds_alternative<forward_message>(message))
        {
            this->relayed_to = to;
        }
    }

    void send_to_upstream(byte_view) override
    {
        ++this->to_upstream;
    }

    flow_query query;
    instance_id relayed_to;
    std::size_t to_upstream = 0;
};

/// A lost notification is retransmitted after two seconds.
constexpr duration max_notification_gap = 8s;

} // namespace

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_DATA_TEST_CASE(
    stale_redirects_do_not_cause_forwarding_loops, data::xrange(5), seed)
{
    virtual_options options;
    options.entries = 3;
    options.companions = 4;
    options.callers = 40;
    options.seed = static_cast<std::uint64_t>(seed) + 500;
    options.faults = {0.10, 0.0, 200us, 5ms};
    virtual_fleet fleet(options);
    fleet.run_for(3s);

    for (std::size_t i = 0; i < 800; ++i)
    {
        fleet.post(i % 40);
        fleet.run_for(10ms);
    }
    fleet.set_faults({});
    fleet.run_for(60s);

    std::vector<std::size_t> last(40);
    for (std::size_t caller = 0; caller < 40; ++caller)
    {
        last[caller] = fleet.post(caller);
        fleet.run_for(200ms);
    }
    fleet.run_for(60s);
    for (std::size_t caller = 0; caller < 40; ++caller)
    {
        BOOST_TEST(
            (fleet.requests()[last[caller]].outcome == request_outcome::done),
            "caller " << caller << " has no owner that answers");
    }
}

BOOST_AUTO_TEST_CASE(overloaded_companions_do_not_forward_a_request_in_a_loop)
{
    virtual_options options;
    options.companions = 2;
    options.callers = 60;
    options.upstream_slots = 1;
    options.service_time = 100ms;
    virtual_fleet fleet(options);
    fleet.run_for(3s);

    for (std::size_t i = 0; i < 600; ++i)
    {
        fleet.post(i % 60);
        fleet.run_for(10ms);
    }
    fleet.run_for(60s);

    BOOST_TEST(fleet.count(request_outcome::no_answer) == 0U);
    BOOST_TEST(fleet.count(request_outcome::not_run) > 0U);
    BOOST_TEST(fleet.violations().empty());
    // Refusals are sent at once, and their retry times are spread over
    // four values so that callers do not retry together.
    std::map<std::uint32_t, std::size_t> retry_counts;
    for (const auto& request : fleet.requests())
    {
        if (request.outcome == request_outcome::not_run)
        {
            ++retry_counts[request.retry_after];
            BOOST_TEST((request.ended - request.started < 300ms));
        }
    }
    BOOST_TEST(retry_counts.size() >= 3U);
    for (const auto& [seconds, count] : retry_counts)
    {
        BOOST_TEST(
            count < fleet.count(request_outcome::not_run) / 2,
            "retry after " << seconds << " s was sent " << count << " times");
    }
}

BOOST_DATA_TEST_CASE(watches_survive_the_loss_of_entries, data::xrange(3), seed)
{
    virtual_fleet fleet(watch_options(static_cast<std::uint64_t>(seed) + 1));
    fleet.run_for(3s);
    start_watches(fleet, 24);

    run_with_notifications(fleet, 3s);
    fleet.kill_entry(0);
    run_with_notifications(fleet, 10s);
    fleet.start_entry(0);
    fleet.freeze_entry(1, 4s);
    run_with_notifications(fleet, 10s);
    fleet.kill_entry(2);
    fleet.start_entry(2);
    run_with_notifications(fleet, 10s);

    BOOST_TEST(count_broken(fleet, 24, max_notification_gap) == 0U);
}

BOOST_DATA_TEST_CASE(
    watches_survive_while_the_service_doubles, data::xrange(3), seed)
{
    virtual_fleet fleet(watch_options(static_cast<std::uint64_t>(seed) + 10));
    fleet.run_for(3s);
    start_watches(fleet, 24);

    for (std::size_t i = 0; i < 6; ++i)
    {
        fleet.add_companion(i % 3);
        run_with_notifications(fleet, 2s);
    }
    // Entries that restart with empty caches also rank the new companions.
    for (std::size_t i = 0; i < 4; ++i)
    {
        fleet.kill_entry(i);
        fleet.start_entry(i);
        run_with_notifications(fleet, 3s);
    }

    BOOST_TEST(count_broken(fleet, 24, max_notification_gap) == 0U);
}

BOOST_DATA_TEST_CASE(
    watches_move_to_a_sibling_when_a_companion_drains, data::xrange(3), seed)
{
    virtual_fleet fleet(watch_options(static_cast<std::uint64_t>(seed) + 20));
    fleet.run_for(3s);
    start_watches(fleet, 24);
    run_with_notifications(fleet, 2s);

    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.drain_companion(i);
        run_with_notifications(fleet, 4s);
        BOOST_TEST(fleet.companion(i)->is_drained(fleet.now()));
        fleet.kill_companion(i);
        run_with_notifications(fleet, 4s);
    }

    BOOST_TEST(count_broken(fleet, 24, max_notification_gap) == 0U);
    BOOST_TEST(fleet.events(event_kind::watch_handed_over) > 0U);
}

BOOST_DATA_TEST_CASE(
    a_new_entry_refuses_nothing_before_it_knows_the_members,
    data::xrange(3),
    seed)
{
    virtual_options options = watch_options(static_cast<std::uint64_t>(seed));
    virtual_fleet fleet(options);
    fleet.run_for(3s);

    for (std::size_t i = 0; i < 300; ++i)
    {
        fleet.post(i % 24);
        fleet.run_for(10ms);
        if (i % 50 == 10)
        {
            fleet.kill_entry(i / 50 % 4);
            fleet.start_entry(i / 50 % 4);
        }
    }
    fleet.run_for(40s);

    BOOST_TEST(fleet.entry_refusals() == 0U);
    BOOST_TEST(fleet.count(request_outcome::no_answer) == 0U);
}

BOOST_AUTO_TEST_CASE(a_handed_over_watch_keeps_its_token_and_observe_order)
{
    virtual_options options = watch_options(60);
    options.faults = {};
    virtual_fleet fleet(options);
    fleet.run_for(3s);
    start_watches(fleet, 24);
    run_with_notifications(fleet, 2s);

    fleet.drain_companion(0);
    run_with_notifications(fleet, 5s);

    BOOST_TEST(fleet.events(event_kind::watch_handed_over) > 0U);
    for (std::size_t i = 0; i < 24; ++i)
    {
        // Watches are matched by token; an Observe value that does not increase
        // counts as stale.
        BOOST_TEST(fleet.watch_of(i).stale == 0U, "watch " << i);
        BOOST_TEST(!fleet.watch_of(i).ended, "watch " << i);
    }
}

BOOST_DATA_TEST_CASE(
    entries_cut_from_each_other_agree_again, data::xrange(2), seed)
{
    virtual_options options = watch_options(static_cast<std::uint64_t>(seed));
    options.faults = {};
    virtual_fleet fleet(options);
    fleet.run_for(3s);
    start_watches(fleet, 24);
    const auto set_partition = [&fleet](bool partitioned)
    {
        for (const std::size_t left : {0, 1})
        {
            for (const std::size_t right : {2, 3})
            {
                fleet.set_partition(
                    fleet.entry_id(left), fleet.entry_id(right), partitioned);
            }
        }
    };

    set_partition(true);
    run_with_notifications(fleet, 2s);
    fleet.change([](configuration& value)
                 { value.withdrawn_domains = {"domain-2"}; });
    run_with_notifications(fleet, 10s);
    set_partition(false);
    run_with_notifications(fleet, 10s);

    for (std::size_t i = 0; i < 4; ++i)
    {
        BOOST_TEST(fleet.entry(i)->config().number() == 2U, "entry " << i);
        BOOST_TEST(
            fleet.entry(i)->members().entries().size() == 4U, "entry " << i);
    }
}

BOOST_AUTO_TEST_CASE(loss_of_an_upstream_breaks_only_its_own_watches)
{
    virtual_fleet fleet(watch_options(30));
    fleet.run_for(3s);
    start_watches(fleet, 24);
    run_with_notifications(fleet, 2s);

    const std::size_t own_watches = fleet.companion(0)->status().watches;
    fleet.kill_companion(0);
    fleet.upstream(0).alive = false;
    run_with_notifications(fleet, 20s);

    BOOST_TEST(count_broken(fleet, 24, max_notification_gap) == own_watches);
}

BOOST_AUTO_TEST_CASE(restart_of_an_upstream_renews_its_watches)
{
    virtual_fleet fleet(watch_options(40));
    fleet.run_for(3s);
    start_watches(fleet, 24);
    run_with_notifications(fleet, 2s);

    fleet.restart_upstream(0);
    run_with_notifications(fleet, 15s);

    BOOST_TEST(count_broken(fleet, 24, max_notification_gap) == 0U);
}

BOOST_AUTO_TEST_CASE(a_frozen_owner_keeps_its_flows)
{
    virtual_options options = watch_options(50);
    options.faults = {};
    virtual_fleet fleet(options);
    fleet.run_for(3s);
    start_watches(fleet, 24);

    fleet.freeze_companion(0, 3s);
    run_with_notifications(fleet, 20s);

    BOOST_TEST(count_broken(fleet, 24, max_notification_gap) == 0U);
}

BOOST_AUTO_TEST_CASE(answers_that_wait_while_a_companion_is_stalled_count)
{
    const instance_id self{1};
    const instance_id owner{2};
    recording_output output;
    null_event_sink events;
    const libcoap_codec codec;
    companion_settings settings;
    settings.self = self;
    settings.service = "meetups";
    settings.failure_domain = "a";
    companion_core core(settings, output, events, codec);
    const time_point start = time_point(1h);
    core.on_message(start, {owner, {}, 1}, config_push{small_document});
    core.on_announcement(start, {"meetups", 1, false});
    coap_message request;
    request.code = coap_code::get;
    request.add_text(coap_option_number::uri_path, "board");
    const bytes packet = codec.encode(request);
    forward_message message;
    message.flow.service = make_service_id("meetups");
    message.mode = forward_mode::look_up;
    message.candidates.add(self);
    message.candidates.add(owner);
    message.payload = packet;
    core.on_message(start, {{3}, {}, 1}, message);

    core.on_tick(start + 500ms);
    flow_query_answer answer;
    answer.flow = message.flow;
    answer.query = output.query.query;
    answer.ownership_status = flow_ownership_status::owned;
    core.on_message(start + 500ms, {owner, {}, 1}, answer);

    BOOST_TEST(output.to_upstream == 0U);
    BOOST_TEST((output.relayed_to == owner));
}

BOOST_AUTO_TEST_SUITE_END()
