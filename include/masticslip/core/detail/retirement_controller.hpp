#pragma once
/// Hands the at-most-once knowledge of a stopping companion to its siblings.
///
/// Before its end a companion stops running requests for good and tells its
/// siblings which requests it has records of. A request that carries its Echo
/// value and is not among them has truly not run; without this, the siblings
/// could only answer that the outcome is unknown.

#include "masticslip/core/detail/companion_context.hpp"
#include "masticslip/core/execution_records.hpp"

#include <map>
#include <set>
#include <vector>

namespace masticslip::detail
{

/// What is known of a request under an Echo value of another companion.
struct retired_knowledge
{
    /// False: nothing is known; ask that companion.
    bool is_retired = false;
    /// Null: no record was left.
    const retired_request* record = nullptr;
    /// Records of requests under Echo values issued before this time may have
    /// been forgotten before the companion retired.
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

    /// Begins to hand over. From now on this companion must not run anything.
    void start(time_point now, const execution_records& records);

    /// Repeats what siblings have not acknowledged.
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

    /// True once all siblings know, or the time for it has passed.
    [[nodiscard]] bool is_finished(time_point now) const;

    /// What a retired companion left about a request. Valid until the next
    /// call of another method.
    [[nodiscard]] retired_knowledge
    find(instance_id companion, incarnation life, const request_key& key) const;

private:
    struct retired_companion
    {
        incarnation life;
        std::uint16_t parts = 0;
        time_point retired_at;
        std::set<std::uint16_t> received;
        std::map<request_digest, retired_request> requests;
        time_point expires;
    };

    [[nodiscard]] std::vector<retirement_message>
    make_messages(time_point now, const execution_records& records) const;
    void send_missing();
    void forget_expired(time_point now);

    companion_context& context;
    bool started = false;
    time_point give_up_at;
    time_point repeat_at;
    std::vector<retirement_message> messages;
    std::map<instance_id, std::set<std::uint16_t>> missing;
    std::map<instance_id, retired_companion> retired;
};

} // namespace masticslip::detail
