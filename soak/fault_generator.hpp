#pragma once
/// Random parameters of faults, determined by a seed.

#include "soak_world.hpp"

#include <array>
#include <random>

namespace masticslip::soak
{

/// Not thread-safe. The settings must outlive the generator.
class fault_generator
{
public:
    fault_generator(std::uint64_t seed, const soak_settings& settings)
        : random(seed), settings(settings)
    {
    }

    std::size_t random_index(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            this->random);
    }

    /// Both bounds are inclusive.
    std::chrono::milliseconds random_duration(
        std::chrono::milliseconds low, std::chrono::milliseconds high)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(
            static_cast<int>(low.count()),
            static_cast<int>(high.count()))(this->random));
    }

    std::size_t process()
    {
        return this->random_index(this->settings.entries + this->host_count());
    }

    std::size_t host_count() const
    {
        return this->settings.meetups + this->settings.papers;
    }

    std::size_t host()
    {
        return this->random_index(this->host_count());
    }

    template <class Value, std::size_t Size>
    Value pick(const std::array<Value, Size>& values)
    {
        return values.at(this->random_index(Size));
    }

    std::uint32_t domain()
    {
        return static_cast<std::uint32_t>(
            this->random_index(this->settings.domains));
    }

private:
    std::mt19937_64 random;
    const soak_settings& settings;
};

} // namespace masticslip::soak
