#include "fault_series.hpp"

#include "fault_generator.hpp"

#include <algorithm>

namespace masticslip::soak
{

using namespace std::chrono_literals;
using standin::store_fault;

namespace
{

using time_span = std::chrono::milliseconds;

constexpr time_span first_series{1'000};
/// Pause before the next series; shorter than most series.
constexpr time_span min_series_gap{1'000};
constexpr time_span max_series_gap{4'000};
/// Time from SIGTERM to the exit of an entry.
constexpr time_span entry_stop_time{2'000};
constexpr time_span max_restart_pause{1'000};

/// Generates the faults of series.
class series_generator
{
public:
    series_generator(
        std::uint64_t seed, const soak_settings& settings, time_span end)
        : generator(seed, settings), settings(settings), end(end)
    {
    }

    void add_random_series(time_span at);

    time_span random_duration(time_span low, time_span high)
    {
        return this->generator.random_duration(low, high);
    }

    std::vector<planned_fault> take()
    {
        return std::move(this->plan);
    }

private:
    void restart_around_store_outage(time_span at);
    void restart_around_lease_expiry(time_span at);
    void restart_without_some_companions(time_span at);
    void restart_entries_and_companions(time_span at);
    void restart_during_configuration_storm(time_span at);
    void signal_repeatedly(time_span at);

    /// Ignores faults that would begin outside the run.
    void
    add(time_span at,
        const std::string& name,
        std::function<void(soak_world&)> apply);
    void stop(time_span at, std::size_t index);
    void kill(time_span at, std::size_t index);
    void reload(time_span at, std::size_t index);
    /// Stops `count` processes one after the other, from a random one of those
    /// with indexes in [first, first + size).
    void stop_in_turn(
        time_span at,
        time_span gap,
        std::size_t first,
        std::size_t size,
        std::size_t count);
    void stop_entries_in_turn(time_span at);
    void stop_companions_in_turn(time_span at);
    /// Sends SIGHUP to random processes.
    void reload_some(time_span at, std::size_t count);
    void add_outage(time_span at, time_span length);

    fault_generator generator;
    const soak_settings& settings;
    time_span end;
    std::vector<planned_fault> plan;
};

void series_generator::add(
    time_span at,
    const std::string& name,
    std::function<void(soak_world&)> apply)
{
    if (at >= first_series && at < this->end)
    {
        this->plan.push_back({at, "series: " + name, std::move(apply)});
    }
}

void series_generator::stop(time_span at, std::size_t index)
{
    const auto pause = this->random_duration(0ms, max_restart_pause);
    this->add(
        at, "stop process " + std::to_string(index),
        [=](soak_world& world) { world.stop_process(index, pause); });
}

void series_generator::kill(time_span at, std::size_t index)
{
    const auto down = this->random_duration(0ms, 500ms);
    this->add(
        at, "kill process " + std::to_string(index),
        [=](soak_world& world) { world.kill_process(index, down); });
}

void series_generator::reload(time_span at, std::size_t index)
{
    this->add(
        at, "reload process " + std::to_string(index),
        [=](soak_world& world) { world.reload_process(index); });
}

void series_generator::stop_in_turn(
    time_span at,
    time_span gap,
    std::size_t first,
    std::size_t size,
    std::size_t count)
{
    const std::size_t begin = this->generator.random_index(size);
    for (std::size_t i = 0; i < count; ++i)
    {
        this->stop(at + gap * i, first + (begin + i) % size);
    }
}

void series_generator::stop_entries_in_turn(time_span at)
{
    const auto gap = this->random_duration(200ms, 2'500ms);
    this->stop_in_turn(
        at, gap, 0, this->settings.entries, this->settings.entries);
}

void series_generator::stop_companions_in_turn(time_span at)
{
    const std::size_t size = this->generator.host_count();
    const auto gap = this->random_duration(100ms, 1'200ms);
    const std::size_t count = 1 + this->generator.random_index(size);
    this->stop_in_turn(at, gap, this->settings.entries, size, count);
}

void series_generator::reload_some(time_span at, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t index = this->generator.process();
        this->reload(at + this->random_duration(0ms, 3'000ms), index);
    }
}

void series_generator::add_outage(time_span at, time_span length)
{
    static constexpr std::array faults{
        store_fault::busy, store_fault::limited, store_fault::reset,
        store_fault::silent, store_fault::unreadable};
    const auto fault = this->generator.pick(faults);
    const time_span time = std::min(length, this->end - at);
    this->add(
        at,
        "store fault " + std::to_string(static_cast<int>(fault)) + " for " +
            std::to_string(time.count()) + " ms",
        [=](soak_world& world) { world.inject_store_fault(fault, time); });
}

/// The store is away for longer than leases last; entries begin to restart
/// between 2.5 s before and 2 s after its return.
void series_generator::restart_around_store_outage(time_span at)
{
    const auto length = this->random_duration(4'500ms, 7'000ms);
    this->add_outage(at, length);
    this->stop_entries_in_turn(
        at + length + this->random_duration(-2'500ms, 2'000ms));
}

/// A short outage in which all leases end; entries restart around it.
void series_generator::restart_around_lease_expiry(time_span at)
{
    const auto length = this->random_duration(300ms, 3'000ms);
    const auto expiry = this->random_duration(0ms, length);
    this->add_outage(at, length);
    this->add(
        at + expiry, "expire all leases",
        [](soak_world& world) { world.expire_store_leases(); });
    this->stop_entries_in_turn(
        at + length + this->random_duration(-2'500ms, 2'000ms));
}

/// The store turns some companions away and ends their leases while entries
/// restart.
void series_generator::restart_without_some_companions(time_span at)
{
    const std::size_t size = this->generator.host_count();
    const std::size_t count = 1 + this->generator.random_index((size + 1) / 2);
    const std::size_t first = this->generator.random_index(size);
    const auto mode = this->generator.random_index(2) == 0 ? proxy_mode::refuse
                                                           : proxy_mode::silent;
    const auto time =
        std::min(this->random_duration(2'000ms, 10'000ms), this->end - at);
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t host = (first + i) % size;
        this->add(
            at + 100ms * i, "turn companion " + std::to_string(host) + " away",
            [=](soak_world& world)
            { world.turn_companion_away(host, mode, time); });
    }
    this->stop_entries_in_turn(at + this->random_duration(-1'500ms, time));
}

/// Entries and companions restart in turn at the same time; some are told to
/// reload.
void series_generator::restart_entries_and_companions(time_span at)
{
    this->stop_entries_in_turn(at);
    this->stop_companions_in_turn(at + this->random_duration(0ms, 2'500ms));
    this->reload_some(at, 1 + this->generator.random_index(6));
}

void series_generator::restart_during_configuration_storm(time_span at)
{
    const auto gap = this->random_duration(40ms, 250ms);
    const std::size_t count = 10 + this->generator.random_index(21);
    for (std::size_t i = 0; i < count; ++i)
    {
        this->add(
            at + gap * i, "change the configuration",
            [](soak_world& world) { world.change_configuration(); });
    }
    this->stop_entries_in_turn(at + this->random_duration(0ms, 1'500ms));
    this->stop_companions_in_turn(at + this->random_duration(0ms, 3'000ms));
}

/// Some processes get several SIGTERM and SIGHUP; some are killed while they
/// stop.
void series_generator::signal_repeatedly(time_span at)
{
    const std::size_t processes = 1 + this->generator.random_index(4);
    for (std::size_t i = 0; i < processes; ++i)
    {
        const std::size_t index = this->generator.process();
        const auto begin = at + this->random_duration(0ms, 3'000ms);
        const std::size_t signals = 2 + this->generator.random_index(4);
        this->stop(begin, index);
        for (std::size_t k = 1; k < signals; ++k)
        {
            this->stop(begin + this->random_duration(1ms, 3'000ms), index);
        }
        this->reload(begin + this->random_duration(-100ms, 300ms), index);
        if (this->generator.random_index(2) == 0)
        {
            this->kill(
                begin + this->random_duration(1ms, entry_stop_time - 1ms),
                index);
        }
    }
}

void series_generator::add_random_series(time_span at)
{
    using series = void (series_generator::*)(time_span);
    // Restarts around faults of the store are twice as likely.
    static constexpr std::array<series, 8> all{
        &series_generator::restart_around_store_outage,
        &series_generator::restart_around_store_outage,
        &series_generator::restart_around_lease_expiry,
        &series_generator::restart_around_lease_expiry,
        &series_generator::restart_without_some_companions,
        &series_generator::restart_entries_and_companions,
        &series_generator::restart_during_configuration_storm,
        &series_generator::signal_repeatedly};
    (this->*this->generator.pick(all))(at);
}

} // namespace

std::vector<planned_fault>
draw_series(std::uint64_t seed, const soak_settings& settings, time_span end)
{
    constexpr std::uint64_t stream = 0x5EED'0003;
    series_generator generator(seed ^ stream, settings, end);
    time_span at = first_series;
    while (at < end)
    {
        generator.add_random_series(at);
        at += generator.random_duration(min_series_gap, max_series_gap);
    }
    return generator.take();
}

} // namespace masticslip::soak
