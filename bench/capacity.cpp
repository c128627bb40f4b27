// Measures memory and processor time of the control plane of one entry core at
// four fleet sizes; the largest has 2,300 entries and 24,000 companions of
// 8,500 services. Prints one line per size.

#include "masticslip/core/entry_core.hpp"
#include "masticslip/wire/message_codec.hpp"
#include "support/null_outputs.hpp"

#include <chrono>
#include <iostream>
#include <string>

#include <malloc.h>

namespace
{

using namespace masticslip;
using namespace masticslip::testing;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

/// Counts the messages that the core sends, and their encoded size.
class counting_output final : public null_entry_output
{
public:
    void send(instance_id to, const internal_message& message) override
    {
        this->bytes += this->codec.encode(to, 1, message).size();
        ++this->messages;
    }
    message_codec codec{{{1}, {1}}, {shared_key{1}}};
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

struct fleet_size
{
    std::size_t entries;
    std::size_t companions;
    std::size_t services;
};

member_record
make_member(std::size_t number, bool is_entry, std::size_t services)
{
    member_record record;
    record.id = {endpoint{0x0a000000 + static_cast<std::uint32_t>(number), 7000}
                     .packed()};
    record.incarnation_number = {1};
    record.version = 1;
    record.role = is_entry ? member_role::entry : member_role::companion;
    record.failure_domain = "domain-" + std::to_string(number % 6);
    record.name = "instance-" + std::to_string(number);
    if (!is_entry)
    {
        record.service =
            make_service_id("service-" + std::to_string(number % services));
    }
    return record;
}

double seconds_since(steady::time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

void measure(const fleet_size& size)
{
    null_event_sink sink;
    counting_output output;
    entry_settings settings;
    settings.self = {endpoint{0x09000001, 7000}.packed()};
    settings.incarnation_number = {1};
    settings.cache_capacity = 2;
    const std::size_t before = mallinfo2().uordblks;
    entry_core core(settings, output, sink);
    time_point now{1s};
    const message_header header{{endpoint{0x0a000000, 7000}.packed()}, {1}, 0};
    const auto load_start = steady::now();
    for (std::size_t i = 0; i < size.entries + size.companions; ++i)
    {
        gossip_message message;
        message.records.push_back(
            make_member(i, i < size.entries, size.services));
        core.on_message(now, header, message);
    }
    const double load_time = seconds_since(load_start);
    const std::size_t memory = mallinfo2().uordblks - before;

    // First second: gossip and digests; no member is overdue yet.
    const std::uint64_t bytes_before = output.bytes;
    const auto quiet_start = steady::now();
    for (int i = 0; i < 100; ++i)
    {
        now += tick_interval;
        core.on_tick(now);
    }
    const double quiet_time = seconds_since(quiet_start);
    // Second second: all members that other entries watch become overdue.
    const auto overdue_start = steady::now();
    for (int i = 0; i < 100; ++i)
    {
        now += tick_interval;
        core.on_tick(now);
    }
    const double overdue_time = seconds_since(overdue_start);
    // Ten more seconds of steady state: the members to watch are known.
    const auto steady_start = steady::now();
    for (int i = 0; i < 1000; ++i)
    {
        now += tick_interval;
        core.on_tick(now);
    }
    const double steady_time = seconds_since(steady_start) / 10;
    std::cout << "entries " << size.entries << " companions " << size.companions
              << " memory_kib " << memory / 1024 << " load_ms "
              << load_time * 1000 << " quiet_second_ms " << quiet_time * 1000
              << " judging_second_ms " << overdue_time * 1000
              << " steady_second_ms " << steady_time * 1000
              << " control_bytes_per_s " << (output.bytes - bytes_before) / 12
              << std::endl;
}

} // namespace

int main()
{
    for (const fleet_size& size :
         {fleet_size{290, 3000, 1062}, fleet_size{575, 6000, 2125},
          fleet_size{1150, 12000, 4250}, fleet_size{2300, 24000, 8500}})
    {
        measure(size);
    }
    return 0;
}
