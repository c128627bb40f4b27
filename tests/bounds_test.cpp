// Machine-independent bounds on allocations and memory, from the targets of
// docs/CAPACITY.md.

#define BOOST_TEST_MODULE bounds
#include "masticslip/core/detail/ownership_controller.hpp"
#include "masticslip/core/entry_core.hpp"
#include "masticslip/core/flow_map.hpp"
#include "masticslip/wire/message_codec.hpp"
#include "support/null_outputs.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <new>

namespace
{

std::size_t allocation_count = 0;
std::size_t allocated_bytes = 0;

} // namespace

void* operator new(std::size_t size)
{
    ++allocation_count;
    allocated_bytes += size;
    void* memory = std::malloc(size);
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;

/// Encodes each message, as the daemon does.
class encoding_output final : public null_entry_output
{
public:
    void send(instance_id to, const internal_message& message) override
    {
        this->sent += this->codec.encode(to, 1, message).size();
    }
    message_codec codec{{{1}, {1}}, {shared_key{1}}};
    std::size_t sent = 0;
};

flow_key make_flow(std::uint32_t number)
{
    return {{0x0a000000 + number, 4000}, make_service_id("meetups")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(bounds)

BOOST_AUTO_TEST_CASE(cached_packet_path_allocates_nothing)
{
    null_event_sink sink;
    encoding_output output;
    entry_settings settings;
    settings.self = {1};
    settings.incarnation_number = {1};
    settings.failure_domain = "a";
    settings.cache_capacity = 1000;
    entry_core core(settings, output, sink);
    const time_point now{1s};
    failure_reason reason;
    core.offer_configuration(now, small_document, reason);
    member_record record;
    record.id = {99};
    record.incarnation_number = {1};
    record.version = 1;
    record.service = make_service_id("meetups");
    record.failure_domain = "a";
    const message_header header{{99}, {1}, 1};
    core.on_message(now, header, heartbeat{record, {}});
    for (std::uint32_t i = 0; i < 400; ++i)
    {
        reply_message reply;
        reply.flow = make_flow(i);
        core.on_message(now, header, reply);
    }
    const bytes payload(64, 7);
    core.on_caller_packet(now, make_flow(0), payload, {});

    const std::size_t before = allocation_count;
    const std::size_t sent = output.sent;
    for (std::uint32_t i = 0; i < 4000; ++i)
    {
        core.on_caller_packet(now, make_flow(i % 400), payload, {});
    }

    BOOST_TEST(output.sent > sent);
    BOOST_TEST(allocation_count - before == 0U);
}

BOOST_AUTO_TEST_CASE(entry_takes_at_most_96_bytes_a_flow)
{
    constexpr std::uint32_t flows = 400'000;
    const std::size_t before = allocated_bytes;
    flow_cache cache(flows);
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        cache.store(make_flow(i), {1});
    }
    const std::size_t used = allocated_bytes - before;
    BOOST_TEST(used <= std::size_t{flows} * 96);
    BOOST_TEST_MESSAGE("bytes per flow at an entry: " << used / flows);
}

BOOST_AUTO_TEST_CASE(companion_takes_at_most_256_bytes_a_flow)
{
    // One host serves 2,000 connections. Growing the table doubles it, so the
    // largest block is measured rather than the sum of all allocations.
    constexpr std::uint32_t flows = 2000;
    flow_map<detail::owned_flow> table;
    table.reserve(flows);
    const std::size_t slots = static_cast<std::size_t>(
        double(table.max_load()) / double(table.max_load_factor()));
    const std::size_t slot = sizeof(flow_map<detail::owned_flow>::value_type);
    BOOST_TEST(slots * (slot + 1) / flows <= 256U);
    BOOST_TEST_MESSAGE(
        "bytes per flow at a companion: " << slots * (slot + 1) / flows);
}

BOOST_AUTO_TEST_SUITE_END()
