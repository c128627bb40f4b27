#pragma once
/// Detects repeated sequence numbers of one sender.
///
/// Method: the sliding window of IPsec (RFC 4303, section 3.4.3).

#include "masticslip/core/types.hpp"

#include <cstdint>

namespace masticslip
{

/// State for one sender. Not thread-safe.
class replay_window
{
public:
    /// Returns true if the number was not seen before in this incarnation
    /// and is not too old to tell. Numbers of former incarnations are refused.
    bool accept(incarnation sender_life, std::uint64_t sequence)
    {
        if (sender_life < this->life)
        {
            return false;
        }
        if (sender_life > this->life)
        {
            this->life = sender_life;
            this->newest = 0;
            this->seen = 0;
        }
        return this->accept_number(sequence);
    }

private:
    static constexpr std::uint64_t width = 64;

    bool accept_number(std::uint64_t sequence)
    {
        if (sequence > this->newest)
        {
            const std::uint64_t shift = sequence - this->newest;
            this->seen = shift >= width ? 0 : this->seen << shift;
            this->seen |= 1U;
            this->newest = sequence;
            return true;
        }
        const std::uint64_t age = this->newest - sequence;
        if (age >= width)
        {
            return false;
        }
        const std::uint64_t bit = std::uint64_t{1} << age;
        const bool fresh = (this->seen & bit) == 0;
        this->seen |= bit;
        return fresh;
    }

    incarnation life;
    std::uint64_t newest = 0;
    std::uint64_t seen = 0;
};

} // namespace masticslip
