// Construction, fault injection, links and clock of the virtual fleet.

#include "virtual_nodes.hpp"

#include <algorithm>

namespace masticslip::testing
{

using namespace std::chrono_literals;

virtual_fleet::virtual_fleet(virtual_options initial_options)
    : options(std::move(initial_options)), random(this->options.seed),
      clock(time_point(1s)), sink(std::make_unique<counting_sink>())
{
    this->document.number = 1;
    this->document.services = {
        {virtual_service, {0x0a090001, 5683}, this->options.protocol}};
    for (std::size_t i = 0; i < this->options.failure_domains; ++i)
    {
        this->document.failure_domains.push_back(domain_name(i));
    }
    preset default_preset;
    default_preset.name = "ordinary";
    default_preset.choice_width = this->options.choice_width;
    default_preset.limits.max_in_flight = this->options.upstream_slots;
    this->document.presets = {default_preset};
    this->document.preset_in_force = "ordinary";
    for (std::size_t i = 0; i < this->options.entries; ++i)
    {
        this->entries.push_back(std::make_unique<entry_node>(*this, i));
        this->start_entry(i);
    }
    for (std::size_t i = 0; i < this->options.companions; ++i)
    {
        this->add_companion(i % this->options.failure_domains);
    }
    for (std::size_t i = 0; i < this->options.callers; ++i)
    {
        this->callers.push_back(std::make_unique<caller_node>());
        this->callers.back()->index = i;
    }
    failure_reason reason;
    this->entries[0]->core->offer_configuration(
        this->clock, serialize_configuration(this->document), reason);
    this->schedule(this->clock + tick_interval, [this] { this->tick_all(); });
}

virtual_fleet::~virtual_fleet() = default;

void virtual_fleet::run_for(duration span)
{
    const time_point end = this->clock + span;
    while (!this->queue.empty() && this->queue.front().when <= end)
    {
        std::pop_heap(this->queue.begin(), this->queue.end(), std::greater<>{});
        const pending_event event = std::move(this->queue.back());
        this->queue.pop_back();
        this->clock = event.when;
        event.run();
    }
    this->clock = end;
}

void virtual_fleet::change(
    const std::function<void(configuration&)>& edit, std::size_t entry)
{
    edit(this->document);
    ++this->document.number;
    failure_reason reason;
    this->entries[entry]->core->offer_configuration(
        this->clock, serialize_configuration(this->document), reason);
}

void virtual_fleet::kill_entry(std::size_t index)
{
    this->entries[index]->core.reset();
}

void virtual_fleet::start_entry(std::size_t index)
{
    this->entries[index]->start();
}

void virtual_fleet::freeze_entry(std::size_t index, duration span)
{
    this->entries[index]->frozen_until = this->clock + span;
}

void virtual_fleet::kill_companion(std::size_t index)
{
    this->companions[index]->core.reset();
}

void virtual_fleet::start_companion(std::size_t index)
{
    this->companions[index]->start();
}

void virtual_fleet::freeze_companion(std::size_t index, duration span)
{
    companion_node& node = *this->companions[index];
    node.frozen_until = this->clock + span;
    this->schedule(
        node.frozen_until,
        [this, &node]
        {
            const auto waiting = std::exchange(node.frozen_datagrams, {});
            for (const auto& datagram : waiting)
            {
                this->deliver_internal(node.id, datagram);
            }
        });
}

void virtual_fleet::drain_companion(std::size_t index)
{
    this->companions[index]->core->start_drain(this->clock);
}

std::size_t virtual_fleet::add_companion(std::size_t domain)
{
    const std::size_t index = this->companions.size();
    this->companions.push_back(
        std::make_unique<companion_node>(*this, index, domain));
    companion_node& node = *this->companions.back();
    node.upstream.cold_until = this->clock + this->options.upstream_cold_time;
    node.start();
    return index;
}

void virtual_fleet::restart_upstream(std::size_t index)
{
    fake_upstream& upstream = this->companions[index]->upstream;
    ++upstream.epoch;
    upstream.active_requests.clear();
    upstream.observers.clear();
    upstream.cold_until = this->clock + this->options.upstream_cold_time;
}

void virtual_fleet::set_faults(const link_faults& faults)
{
    this->options.faults = faults;
}

void virtual_fleet::set_partition(
    instance_id first, instance_id second, bool partitioned)
{
    for (const auto& pair :
         {std::pair(first, second), std::pair(second, first)})
    {
        if (partitioned)
        {
            this->partitions.insert(pair);
        }
        else
        {
            this->partitions.erase(pair);
        }
    }
}

const watch_state& virtual_fleet::watch_of(std::size_t caller) const
{
    return this->callers[caller]->watch;
}

fake_upstream& virtual_fleet::upstream(std::size_t index)
{
    return this->companions[index]->upstream;
}

companion_core* virtual_fleet::companion(std::size_t index)
{
    return this->companions[index]->core.get();
}

entry_core* virtual_fleet::entry(std::size_t index)
{
    return this->entries[index]->core.get();
}

instance_id virtual_fleet::companion_id(std::size_t index) const
{
    return companion_instance_id(index);
}

instance_id virtual_fleet::entry_id(std::size_t index) const
{
    return entry_instance_id(index);
}

std::uint64_t virtual_fleet::events(event_kind kind) const
{
    return this->sink->counts.at(static_cast<std::size_t>(kind));
}

std::uint64_t virtual_fleet::undated_events(event_kind kind) const
{
    return this->sink->undated.at(static_cast<std::size_t>(kind));
}

std::uint64_t virtual_fleet::entry_refusals() const
{
    std::uint64_t result = 0;
    for (const auto& node : this->entries)
    {
        result += node->refusals;
    }
    return result;
}

const bytes& virtual_fleet::echo_of(std::size_t caller) const
{
    return this->callers[caller]->echo;
}

endpoint virtual_fleet::caller_address(std::size_t index) const
{
    return {caller_network + static_cast<std::uint32_t>(index), 4000};
}

void virtual_fleet::schedule(time_point when, std::function<void()> run)
{
    this->queue.push_back({when, this->next_order++, std::move(run)});
    std::push_heap(this->queue.begin(), this->queue.end(), std::greater<>{});
}

void virtual_fleet::transmit(
    instance_id from, instance_id to, const std::function<void()>& deliver)
{
    const link_faults& faults = this->options.faults;
    std::uniform_real_distribution<double> uniform(0, 1);
    std::uniform_int_distribution<std::int64_t> delay(
        faults.shortest_delay.count(), faults.longest_delay.count());
    const bool lost = this->partitions.contains({from, to}) ||
                      uniform(this->random) < faults.loss;
    const int copies = uniform(this->random) < faults.duplication ? 2 : 1;
    for (int i = 0; i < copies && !lost; ++i)
    {
        this->schedule(this->clock + duration(delay(this->random)), deliver);
    }
}

void virtual_fleet::send_internal(
    instance_id from, instance_id to, byte_view datagram)
{
    const bytes copy(datagram.begin(), datagram.end());
    this->transmit(
        from, to, [this, to, copy] { this->deliver_internal(to, copy); });
}

void virtual_fleet::deliver_internal(instance_id to, const bytes& datagram)
{
    failure_reason reason;
    for (auto& node : this->entries)
    {
        const bool is_receiver =
            node->id == to && node->core && this->clock >= node->frozen_until;
        if (is_receiver)
        {
            const auto received = node->wire->decode(datagram, reason);
            if (received)
            {
                node->core->on_message(
                    this->clock, received->header, received->body);
            }
        }
    }
    for (auto& node : this->companions)
    {
        if (node->id != to || !node->core)
        {
            continue;
        }
        if (this->clock < node->frozen_until)
        {
            node->frozen_datagrams.push_back(datagram);
            continue;
        }
        const auto received = node->wire->decode(datagram, reason);
        if (received)
        {
            node->core->on_message(
                this->clock, received->header, received->body);
        }
    }
}

void virtual_fleet::tick_all()
{
    for (auto& node : this->entries)
    {
        if (node->core && this->clock >= node->frozen_until)
        {
            node->core->on_tick(this->clock);
        }
    }
    for (auto& node : this->companions)
    {
        if (node->core && this->clock >= node->frozen_until)
        {
            node->core->on_tick(this->clock);
        }
        this->upstream_tick(*node);
    }
    for (std::size_t i = 0; i < this->callers.size(); ++i)
    {
        this->caller_tick(i);
    }
    this->schedule(this->clock + tick_interval, [this] { this->tick_all(); });
}

} // namespace masticslip::testing
