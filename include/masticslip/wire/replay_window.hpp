#pragma once
/// Detects repeated sequence numbers of one sender, with the sliding window of
/// IPsec (RFC 4303, section 3.4.3).

#include "masticslip/core/types.hpp"

#include <cstdint>

namespace masticslip
{

/// Replay protection for one sender. Not thread-safe.
class replay_window
{
public:
    /// Returns true if the number was not seen before in this incarnation and
    /// is within the window. Numbers of earlier incarnations are rejected.
    bool accept(incarnation sender_incarnation, std::uint64_t sequence)
    {
        if (sender_incarnation < this->current_incarnation)
        {
            return false;
        }
        if (sender_incarnation > this->current_incarnation)
        {
            this->current_incarnation = sender_incarnation;
            this->highest_sequence = 0;
            this->seen_mask = 0;
        }
        return this->accept_number(sequence);
    }

private:
    static constexpr std::uint64_t window_size = 64;

    bool accept_number(std::uint64_t sequence)
    {
        if (sequence > this->highest_sequence)
        {
            const std::uint64_t shift = sequence - this->highest_sequence;
            this->seen_mask =
                shift >= window_size ? 0 : this->seen_mask << shift;
            this->seen_mask |= 1U;
            this->highest_sequence = sequence;
            return true;
        }
        const std::uint64_t age = this->highest_sequence - sequence;
        if (age >= window_size)
        {
            return false;
        }
        const std::uint64_t bit = std::uint64_t{1} << age;
        const bool is_new = (this->seen_mask & bit) == 0;
        this->seen_mask |= bit;
        return is_new;
    }

    incarnation current_incarnation;
    std::uint64_t highest_sequence = 0;
    std::uint64_t seen_mask = 0;
};

} // namespace masticslip
