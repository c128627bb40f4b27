#pragma once
/// Probation of an upstream that has ended flows without an answer.
///
/// Load pattern: an upstream goes down and returns in turn. Just after its
/// return it has no requests in flight, so it appears to be the least loaded of
/// its service, receives most new flows, and ends them when it goes down again.
/// Restarts and silences are therefore counted as losses, and after each the
/// upstream is on probation, during which other upstreams are preferred and few
/// flows try it.
///
///     stability.on_status(now, status, holds_flows);
///     stability.on_silence(now);    // requests in flight, no answer
///     if (stability.is_on_probation(now)) ...
///
/// Caveat: a departure message that is lost makes a planned stop look like a
/// crash. It costs the upstream one probation of the shortest length.

#include "masticslip/flow/upstream_status.hpp"

#include <optional>
#include <string_view>

namespace masticslip
{

/// What the last loss was.
enum class upstream_loss : std::uint8_t
{
    none,
    restart, ///< A new incarnation without a departure or drain.
    silence  ///< No answer while requests were in flight.
};

/// Stable name for logs.
std::string_view to_string(upstream_loss value);

/// Not thread-safe; times must not decrease.
class upstream_stability
{
public:
    /// A status was accepted. `holds_flows` is true if flows were open or
    /// requests in flight before it: a restart without them has ended none, and
    /// counts only after earlier losses.
    void
    on_status(time_point now, const upstream_status& status, bool holds_flows);

    /// The upstream reported its departure: its next start is no loss.
    void on_departure();

    /// The upstream does not answer although requests are in flight.
    void on_silence(time_point now);

    /// The upstream itself answers. Ends a silence.
    void on_answer(time_point now);

    /// True while the upstream is lost, and until the probation after its
    /// return ends.
    [[nodiscard]] bool is_on_probation(time_point now) const
    {
        return this->is_lost || now < this->probation_end;
    }

    /// Time of the last loss.
    [[nodiscard]] time_point last_loss_at() const
    {
        return this->lost_at;
    }

    /// Number of losses since the start of this process.
    [[nodiscard]] std::uint32_t loss_count() const
    {
        return this->losses;
    }

    [[nodiscard]] upstream_loss last_loss() const
    {
        return this->last;
    }

    /// Length of the probation after the last loss.
    [[nodiscard]] std::chrono::milliseconds probation() const
    {
        return this->length;
    }

private:
    [[nodiscard]] bool has_history(time_point now) const;
    void add_loss(time_point now, upstream_loss loss);

    std::optional<upstream_incarnation> incarnation;
    /// It drains or has departed.
    bool is_leaving = false;
    bool is_lost = false;
    upstream_loss last = upstream_loss::none;
    std::uint32_t losses = 0;
    std::chrono::milliseconds length{};
    time_point lost_at;
    /// Return from the last loss.
    time_point returned_at;
    time_point probation_end;
};

} // namespace masticslip
