// Schedule of the faults of datagrams between processes.

#include "fault_generator.hpp"
#include "fault_series.hpp"

#include <algorithm>

namespace masticslip::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds first_fault{1'000};
constexpr std::chrono::milliseconds max_gap{5'000};

const char* name_of(datagram_fault fault)
{
    switch (fault)
    {
    case datagram_fault::cut:
        return "cut";
    case datagram_fault::lossy:
        return "lose";
    case datagram_fault::delayed:
        return "delay";
    case datagram_fault::doubled:
        return "double";
    case datagram_fault::reordered:
        return "reorder";
    case datagram_fault::none:
        break;
    }
    return "pass";
}

/// A fault between one entry and some companions, in one direction or both.
planned_fault draw_link_fault(
    fault_generator& generator,
    const soak_settings& settings,
    datagram_fault fault,
    std::chrono::milliseconds time)
{
    const std::size_t size = generator.host_count();
    const std::size_t entry = generator.random_index(settings.entries);
    const std::size_t first = generator.random_index(size);
    const std::size_t count = 1 + generator.random_index((size + 1) / 2);
    // Towards companions, towards the entry, both.
    const std::size_t direction = generator.random_index(3);
    const auto apply = [=, entries = settings.entries](soak_world& world)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::size_t companion = entries + (first + i) % size;
            if (direction != 1)
            {
                world.degrade_datagrams(entry, companion, fault, time);
            }
            if (direction != 0)
            {
                world.degrade_datagrams(companion, entry, fault, time);
            }
        }
    };
    return {
        {},
        std::string("datagrams: ") + name_of(fault) + " between entry " +
            std::to_string(entry) + " and " + std::to_string(count) +
            " companions from " + std::to_string(first) + ", direction " +
            std::to_string(direction),
        apply};
}

} // namespace

std::vector<planned_fault> draw_datagram_faults(
    std::uint64_t seed,
    const soak_settings& settings,
    std::chrono::milliseconds end)
{
    static constexpr std::array harmless{
        datagram_fault::doubled, datagram_fault::reordered};
    static constexpr std::array all{
        datagram_fault::cut, datagram_fault::lossy, datagram_fault::delayed,
        datagram_fault::doubled, datagram_fault::reordered};
    constexpr std::uint64_t stream = 0x5EED'0004;
    fault_generator generator(seed ^ stream, settings);
    std::vector<planned_fault> result;
    auto at = first_fault + generator.random_duration(0ms, max_gap);
    while (at < end)
    {
        const auto fault =
            seed % 2 == 0 ? generator.pick(harmless) : generator.pick(all);
        const auto time =
            std::min(generator.random_duration(300ms, 4'000ms), end - at);
        result.push_back(draw_link_fault(generator, settings, fault, time));
        result.back().at = at;
        at += generator.random_duration(0ms, max_gap);
    }
    return result;
}

} // namespace masticslip::soak
