#include "fault_plan.hpp"

#include <algorithm>
#include <array>

namespace masticslip::soak
{

using namespace std::chrono_literals;
using standin::store_fault;

namespace
{

constexpr std::chrono::milliseconds first_fault{1'000};

/// Draws the figures of faults.
class fault_dice
{
public:
    fault_dice(std::uint64_t seed, const soak_settings& settings)
        : random(seed), settings(settings)
    {
    }

    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            this->random);
    }

    std::chrono::milliseconds
    between(std::chrono::milliseconds low, std::chrono::milliseconds high)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(
            static_cast<int>(low.count()),
            static_cast<int>(high.count()))(this->random));
    }

    std::size_t process()
    {
        return this->below(this->settings.entries + this->host_count());
    }

    std::size_t host_count() const
    {
        return this->settings.meetups + this->settings.papers;
    }

    std::size_t host()
    {
        return this->below(this->host_count());
    }

    template <class Value, std::size_t Size>
    Value one_of(const std::array<Value, Size>& values)
    {
        return values.at(this->below(Size));
    }

    std::uint32_t domain()
    {
        return static_cast<std::uint32_t>(this->below(this->settings.domains));
    }

private:
    std::mt19937_64 random;
    const soak_settings& settings;
};

using fault_draw = planned_fault (*)(fault_dice&);

planned_fault kill_one(fault_dice& dice)
{
    const auto index = dice.process();
    const auto down = dice.between(0ms, 1'500ms);
    return {
        {},
        "kill process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.kill_process(index, down);
        }};
}

planned_fault stop_one(fault_dice& dice)
{
    const auto index = dice.process();
    return {
        {},
        "stop process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.stop_process(index);
        }};
}

planned_fault stop_in_turn(fault_dice& dice)
{
    const auto first = dice.process();
    const auto gap = dice.between(300ms, 1'200ms);
    return {
        {},
        "stop three processes in turn from " + std::to_string(first),
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

planned_fault pause_one(fault_dice& dice)
{
    const auto index = dice.process();
    const auto time = dice.between(300ms, 3'000ms);
    return {
        {},
        "pause process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.pause_process(index, time);
        }};
}

planned_fault reload_one(fault_dice& dice)
{
    const auto index = dice.process();
    return {
        {},
        "reload process " + std::to_string(index),
        [=](soak_world& world)
        {
            world.reload_process(index);
        }};
}

planned_fault harm_link(fault_dice& dice)
{
    static constexpr std::array modes{
        proxy_mode::slow, proxy_mode::refuse, proxy_mode::silent,
        proxy_mode::one_way};
    const auto index = dice.process();
    const auto mode = dice.one_of(modes);
    const auto time = dice.between(500ms, 5'000ms);
    return {
        {},
        "harm the store link of process " + std::to_string(index) + ", mode " +
            std::to_string(static_cast<int>(mode)),
        [=](soak_world& world)
        {
            world.harm_store_link(index, mode, time);
        }};
}

planned_fault harm_store(fault_dice& dice)
{
    static constexpr std::array faults{
        store_fault::busy,   store_fault::limited,   store_fault::reset,
        store_fault::lost,   store_fault::slow,      store_fault::late,
        store_fault::silent, store_fault::unreadable};
    const auto fault = dice.one_of(faults);
    const auto time = dice.between(500ms, 4'000ms);
    return {
        {},
        "harm the store, fault " + std::to_string(static_cast<int>(fault)),
        [=](soak_world& world)
        {
            world.harm_store(fault, time);
        }};
}

planned_fault forget_in_store(fault_dice& dice)
{
    const bool ends_leases = dice.below(2) == 0;
    return {
        {},
        ends_leases ? "end all leases" : "drop the store's history",
        [=](soak_world& world)
        {
            ends_leases ? world.end_store_leases() : world.drop_store_history();
        }};
}

planned_fault crash_one_host(fault_dice& dice)
{
    const auto index = dice.host();
    const bool bounces = dice.below(2) == 0;
    const auto down = dice.between(200ms, 4'000ms);
    return {
        {},
        "crash host " + std::to_string(index),
        [=](soak_world& world)
        {
            world.crash_host(index, bounces, down);
        }};
}

planned_fault replace_one_host(fault_dice& dice)
{
    const auto index = dice.host();
    return {
        {},
        "replace host " + std::to_string(index),
        [=](soak_world& world)
        {
            world.replace_host(index);
        }};
}

planned_fault late_status(fault_dice& dice)
{
    const auto index = dice.host();
    return {
        {},
        "late status of host " + std::to_string(index),
        [=](soak_world& world)
        {
            world.repeat_old_status(index);
        }};
}

planned_fault withdraw_for_a_time(fault_dice& dice)
{
    const auto domain = dice.domain();
    const auto time = dice.between(1'000ms, 9'000ms);
    return {
        {},
        "withdraw domain " + std::to_string(domain),
        [=](soak_world& world)
        {
            world.withdraw(domain);
            world.after(time, [&world, domain] { world.restore(domain); });
        }};
}

planned_fault change_often(fault_dice& dice)
{
    const auto count = 1 + dice.below(8);
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

planned_fault kill_many(fault_dice& dice)
{
    const auto step = 1 + dice.below(3);
    const auto down = dice.between(0ms, 1'500ms);
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

constexpr std::array<fault_draw, 14> draws{
    kill_one,       stop_one,         stop_in_turn, pause_one,
    reload_one,     harm_link,        harm_store,   forget_in_store,
    crash_one_host, replace_one_host, late_status,  withdraw_for_a_time,
    change_often,   kill_many};

} // namespace

std::vector<planned_fault> draw_faults(
    std::uint64_t seed,
    const soak_settings& settings,
    std::chrono::milliseconds end,
    std::chrono::milliseconds gap)
{
    fault_dice dice(seed, settings);
    std::vector<planned_fault> result;
    std::chrono::milliseconds at = first_fault;
    while (at < end)
    {
        planned_fault fault = draws.at(dice.below(draws.size()))(dice);
        fault.at = at;
        result.push_back(std::move(fault));
        at += dice.between(0ms, gap * 2);
    }
    return result;
}

} // namespace masticslip::soak
