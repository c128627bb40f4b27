#pragma once
/// Holds the configuration in force and fetches newer ones from peers.
///
/// The generation never decreases. A node that receives a message with a newer
/// generation requests the document from its sender.

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

    /// Sets a handler to call after each change of the configuration in force.
    void set_changed_handler(changed_handler handler)
    {
        this->on_changed = std::move(handler);
    }

    /// Applies a document if it is valid and newer. Returns false and a
    /// reason if it is invalid; an older valid document is not an error.
    bool
    offer(time_point now, std::string_view document, failure_reason& reason);

    /// Requests the peer's configuration if its generation is newer.
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

    /// False while a newer generation is known to exist. True again after the
    /// catch-up limit: a peer that announced a generation and then failed must
    /// not block this node.
    [[nodiscard]] bool is_up_to_date(time_point now) const;

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
    generation newest_known = 0;
    time_point behind_since;
    time_point next_request;
};

} // namespace masticslip::detail
