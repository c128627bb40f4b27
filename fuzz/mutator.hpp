#pragma once
/// Mutated and random inputs for fuzz targets, reproducible by seed.

#include "masticslip/core/coap_message.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <string>

namespace masticslip::testing
{

class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random(seed)
    {
    }

    std::uint64_t next()
    {
        return this->random();
    }

    /// Applies one to six random mutations.
    bytes mutate(bytes input)
    {
        const std::uint64_t changes = 1 + this->random() % 6;
        for (std::uint64_t i = 0; i < changes; ++i)
        {
            this->mutate_once(input);
        }
        return input;
    }

    /// Returns up to 119 random octets.
    bytes random_octets()
    {
        bytes result(this->random() % 120);
        for (auto& octet : result)
        {
            octet = static_cast<std::uint8_t>(this->random());
        }
        return result;
    }

private:
    void mutate_once(bytes& input)
    {
        if (input.empty())
        {
            input.push_back(0);
        }
        const std::size_t position = this->random() % input.size();
        const auto at = input.begin() + static_cast<std::ptrdiff_t>(position);
        switch (this->random() % 6)
        {
        case 0:
            *at ^= static_cast<std::uint8_t>(1U << (this->random() % 8));
            break;
        case 1:
            *at = static_cast<std::uint8_t>(this->random());
            break;
        case 2:
            input.resize(position);
            break;
        case 3:
            input.insert(at, static_cast<std::uint8_t>(this->random()));
            break;
        case 4:
            *at = this->random() % 2 == 0 ? 0x00 : 0xff;
            break;
        default:
            input.insert(input.end(), input.begin(), at);
            break;
        }
        constexpr std::size_t max_size = 4096;
        input.resize(std::min(input.size(), max_size));
    }

    std::mt19937_64 random;
};

/// Calls `decode` with `count` mutations of `sample`.
inline void fuzz_text(
    mutator& inputs,
    std::size_t count,
    const std::string& sample,
    const std::function<void(const std::string&)>& decode)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const bytes input = inputs.mutate({sample.begin(), sample.end()});
        decode({input.begin(), input.end()});
    }
}

} // namespace masticslip::testing
