#include "fault_plan.hpp"

#include "fault_generator.hpp"
#include "fault_series.hpp"

#include <algorithm>

namespace masticslip::soak
{

using namespace std::chrono_literals;
using standin::store_fault;

namespace
{

constexpr std::chrono::milliseconds first_fault{1'000};

using fault_factory = planned_fault (*)(fault_generator&);

planned_fault kill_random_process(fault_generator& generator)
{
    const auto index = generator.process();
    const auto down = generator.random_duration(0ms, 1'500ms);
    return {
        {},
        "kill process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.kill_process(index, down);
        }};
}

planned_fault stop_random_process(fault_generator& generator)
{
    const auto index = generator.process();
    return {
        {},
        "stop process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.stop_process(index);
        }};
}

planned_fault stop_consecutive_processes(fault_generator& generator)
{
    const auto first = generator.process();
    const auto gap = generator.random_duration(300ms, 1'200ms);
    return {
        {},
        "stop three consecutive processes from " + std::to_string(first),
        [=](soak_world& world)
        {
            for (std::size_t i = 0; i < 3; ++i)
            {
                const auto index = (first + i) % world.process_count();
                world.after(
                    gap * i, [&world, index] { world.stop_process(index); });
            }
        }};
}

planned_fault pause_random_process(fault_generator& generator)
{
    const auto index = generator.process();
    const auto time = generator.random_duration(300ms, 3'000ms);
    return {
        {},
        "pause process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.pause_process(index, time);
        }};
}

planned_fault reload_random_process(fault_generator& generator)
{
    const auto index = generator.process();
    return {
        {},
        "reload process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.reload_process(index);
        }};
}

planned_fault degrade_store_connection(fault_generator& generator)
{
    static constexpr std::array modes{
        proxy_mode::slow, proxy_mode::refuse, proxy_mode::silent,
        proxy_mode::one_way};
    const auto index = generator.process();
    const auto mode = generator.pick(modes);
    const auto time = generator.random_duration(500ms, 5'000ms);
    return {
        {},
        "degrade the store connection of process " + std::to_string(index) +
            ", mode " + std::to_string(static_cast<int>(mode)),
        [=](soak_world& world)
        {
            world.degrade_store_link(index, mode, time);
        }};
}

planned_fault inject_store_fault(fault_generator& generator)
{
    static constexpr std::array faults{
        store_fault::busy,   store_fault::limited,   store_fault::reset,
        store_fault::lost,   store_fault::slow,      store_fault::late,
        store_fault::silent, store_fault::unreadable};
    const auto fault = generator.pick(faults);
    const auto time = generator.random_duration(500ms, 4'000ms);
    return {
        {},
        "inject store fault " + std::to_string(static_cast<int>(fault)),
        [=](soak_world& world)
        {
            world.inject_store_fault(fault, time);
        }};
}

planned_fault discard_store_state(fault_generator& generator)
{
    const bool ends_leases = generator.random_index(2) == 0;
    return {
        {},
        ends_leases ? "expire all leases" : "compact the store's history",
        [=](soak_world& world)
        {
            ends_leases ? world.expire_store_leases()
                        : world.drop_store_history();
        }};
}

planned_fault crash_random_host(fault_generator& generator)
{
    const auto index = generator.host();
    const bool bounces = generator.random_index(2) == 0;
    const auto down = generator.random_duration(200ms, 4'000ms);
    return {
        {},
        "crash host " + std::to_string(index),
        [=](soak_world& world)
        {
            world.crash_host(index, bounces, down);
        }};
}

planned_fault replace_random_host(fault_generator& generator)
{
    const auto index = generator.host();
    return {
        {},
        "replace host " + std::to_string(index),
        [=](soak_world& world)
        {
            world.replace_host(index);
        }};
}

planned_fault resend_status(fault_generator& generator)
{
    const auto index = generator.host();
    return {
        {},
        "resend an old status of host " + std::to_string(index),
        [=](soak_world& world)
        {
            world.resend_status_late(index);
        }};
}

planned_fault withdraw_temporarily(fault_generator& generator)
{
    const auto domain = generator.domain();
    const auto time = generator.random_duration(1'000ms, 9'000ms);
    return {
        {},
        "withdraw domain " + std::to_string(domain),
        [=](soak_world& world)
        {
            world.withdraw(domain);
            world.after(time, [&world, domain] { world.restore(domain); });
        }};
}

planned_fault change_configuration_repeatedly(fault_generator& generator)
{
    const auto count = 1 + generator.random_index(8);
    return {
        {},
        "change the configuration " + std::to_string(count) + " times",
        [=](soak_world& world)
        {
            for (std::size_t i = 0; i < count; ++i)
            {
                world.after(
                    150ms * i, [&world] { world.change_configuration(); });
            }
        }};
}

planned_fault kill_several_processes(fault_generator& generator)
{
    const auto step = 1 + generator.random_index(3);
    const auto down = generator.random_duration(0ms, 1'500ms);
    return {
        {},
        "kill each process whose number is a multiple of " +
            std::to_string(step),
        [=](soak_world& world)
        {
            for (std::size_t i = 0; i < world.process_count(); i += step)
            {
                world.kill_process(i, down);
            }
        }};
}

planned_fault restore_store(fault_generator& generator)
{
    const auto age = generator.random_duration(500ms, 8'000ms);
    const auto rewrite = generator.random_duration(200ms, 3'000ms);
    return {
        {},
        "restore the store from a copy of " + std::to_string(age.count()) +
            " ms ago",
        [=](soak_world& world)
        {
            world.restore_store_copy(age, rewrite);
        }};
}

constexpr std::array<fault_factory, 14> fault_factories{
    kill_random_process,
    stop_random_process,
    stop_consecutive_processes,
    pause_random_process,
    reload_random_process,
    degrade_store_connection,
    inject_store_fault,
    discard_store_state,
    crash_random_host,
    replace_random_host,
    resend_status,
    withdraw_temporarily,
    change_configuration_repeatedly,
    kill_several_processes};

/// Faults that leave the machines of upstreams undisturbed, apart from planned
/// restarts and replacements.
constexpr std::array<fault_factory, 9> calm_factories{
    stop_random_process,
    stop_consecutive_processes,
    reload_random_process,
    inject_store_fault,
    discard_store_state,
    replace_random_host,
    resend_status,
    withdraw_temporarily,
    change_configuration_repeatedly};

planned_fault draw_single_fault(fault_generator& generator, bool is_calm)
{
    const auto factory = is_calm ? generator.pick(calm_factories)
                                 : generator.pick(fault_factories);
    return factory(generator);
}

/// Adds up to two restorations of the store. They have a generator of their
/// own, so that the other faults of a seed stay as they were.
void add_restorations(
    std::uint64_t seed,
    const soak_settings& settings,
    std::chrono::milliseconds end,
    std::vector<planned_fault>& plan)
{
    constexpr std::uint64_t stream = 0x5EED'0002;
    constexpr std::size_t max_restorations = 2;
    fault_generator generator(seed ^ stream, settings);
    const std::size_t count = generator.random_index(max_restorations + 1);
    for (std::size_t i = 0; i < count && end > first_fault + 1ms; ++i)
    {
        planned_fault fault = restore_store(generator);
        fault.at = generator.random_duration(first_fault, end - 1ms);
        plan.push_back(std::move(fault));
    }
}

} // namespace

std::vector<planned_fault> draw_faults(
    std::uint64_t seed,
    const soak_settings& settings,
    std::chrono::milliseconds end,
    std::chrono::milliseconds gap)
{
    const bool is_calm = seed % 2 == 0;
    fault_generator generator(seed, settings);
    std::vector<planned_fault> result;
    std::chrono::milliseconds at = first_fault;
    while (at < end)
    {
        planned_fault fault = draw_single_fault(generator, is_calm);
        fault.at = at;
        result.push_back(std::move(fault));
        at += generator.random_duration(0ms, gap * 2);
    }
    add_restorations(seed, settings, end, result);
    for (planned_fault& fault : draw_series(seed, settings, end))
    {
        result.push_back(std::move(fault));
    }
    std::stable_sort(
        result.begin(), result.end(),
        [](const auto& first, const auto& second)
        { return first.at < second.at; });
    return result;
}

} // namespace masticslip::soak
