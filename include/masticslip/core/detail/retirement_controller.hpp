#pragma once
/// Sends the at-most-once records of a stopping companion to its siblings.
///
/// Before it exits, a companion permanently stops executing requests and sends
/// its siblings the requests of which it has records. A request that carries
/// one of its Echo values and is not among them was not executed. Without the
/// records the siblings could only answer that the outcome is unknown.

#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/execution_records.hpp"

#include <map>
#include <set>
#include <vector>

namespace masticslip::detail
{

/// Result of looking up a request under another companion's Echo value.
struct retirement_lookup
{
    /// False if the records of the companion are not known, or only in part;
    /// the request must be sent to it.
    bool is_retired = false;
    /// Null if the companion had no record of the request.
    const retired_request* record = nullptr;
    /// The records are complete for Echo values issued since this time; older
    /// ones may have expired before the companion retired.
    time_point complete_since;
};

/// Not thread-safe.
class retirement_controller
{
public:
    explicit retirement_controller(companion_context& context)
        : context(context)
    {
    }

    /// Starts sending the records. From now on this companion must not run
    /// anything.
    void start(time_point now, const execution_records& records);

    /// Resends the parts that siblings have not acknowledged.
    void on_tick(time_point now);

    void on_message(
        time_point now,
        const message_header& header,
        const retirement_message& message);
    void
    on_message(const message_header& header, const retirement_ack& message);

    [[nodiscard]] bool is_started() const
    {
        return this->started;
    }

    /// True once siblings acknowledged all parts, or the time-out has passed.
    [[nodiscard]] bool is_finished(time_point now) const;

    /// Looks up a request in the records of a retired companion. Valid until
    /// the next call of another method.
    [[nodiscard]] retirement_lookup find(
        instance_id companion,
        incarnation incarnation_number,
        const request_key& key) const;

private:
    struct retired_companion
    {
        incarnation incarnation_number;
        std::uint16_t parts = 0;
        time_point retired_at;
        std::set<std::uint16_t> received;
        std::map<request_digest, retired_request> requests;
        time_point expires;
    };

    [[nodiscard]] std::vector<retirement_message>
    make_messages(time_point now, const execution_records& records) const;
    void send_unacknowledged();
    void erase_expired(time_point now);

    companion_context& context;
    bool started = false;
    time_point deadline;
    time_point repeat_at;
    std::vector<retirement_message> messages;
    std::map<instance_id, std::set<std::uint16_t>> unacknowledged;
    std::map<instance_id, retired_companion> retired;
};

} // namespace masticslip::detail
