#pragma once
/// Holds the configuration in force and learns newer ones from peers.
///
/// The generation never goes down. A node that hears of a newer generation
/// asks the sender for the document.

#include "masticslip/core/configuration.hpp"
#include "masticslip/core/event_sink.hpp"
#include "masticslip/core/internal_output.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace masticslip::detail
{

/// Not thread-safe.
class config_controller
{
public:
    using changed_handler = std::function<void(time_point)>;

    config_controller(internal_output& output, event_sink& events)
        : output(output), events(events)
    {
    }

    /// Calls the handler after each change of the configuration in force.
    void set_changed_handler(changed_handler handler)
    {
        this->on_changed = std::move(handler);
    }

    /// Puts a document in force if it is valid and newer. Returns false and a
    /// reason if it is invalid; an older valid document is not an error.
    bool
    offer(time_point now, std::string_view document, failure_reason& reason);

    /// Notes the generation of a peer and asks for it if it is newer.
    void on_header(time_point now, const message_header& header);

    void on_message(
        time_point now, const message_header& header, const config_request&);
    void on_message(
        time_point now,
        const message_header& header,
        const config_push& message);

    /// The configuration in force, or null.
    [[nodiscard]] const std::shared_ptr<const configuration>& current() const
    {
        return this->in_force;
    }

    /// Generation in force; zero if none.
    [[nodiscard]] generation number() const
    {
        return this->in_force ? this->in_force->number : 0;
    }

    /// False while a newer generation is known to exist. After the catch-up
    /// limit true again: a peer that named a generation and died must not
    /// stop this node for ever.
    [[nodiscard]] bool caught_up(time_point now) const;

    /// The document in force as received.
    [[nodiscard]] const std::string& document() const
    {
        return this->text;
    }

private:
    internal_output& output;
    event_sink& events;
    changed_handler on_changed;
    std::shared_ptr<const configuration> in_force;
    std::string text;
    generation newest_heard = 0;
    time_point behind_since;
    time_point next_request;
};

} // namespace masticslip::detail
