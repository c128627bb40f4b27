#pragma once
/// Reads the configuration document in the platform's store and updates it by
/// compare-and-swap.
///
/// If the response to a write is lost, reading the audit record of its
/// generation determines the outcome. The write is never retried, because
/// it may still be applied.

#include "change_log.hpp"
#include "etcd_client.hpp"

#include <functional>
#include <optional>
#include <string>

namespace masticslip
{

/// A document and its revision in the store.
struct stored_configuration
{
    configuration value;
    std::string text;
    std::int64_t revision = 0;
};

/// Identifies a change, its operator and its reason.
struct change_request
{
    std::string id;
    std::string operator_name;
    std::string reason;
    /// Wall-clock time of the request, microseconds since the Unix epoch.
    std::int64_t requested_at = 0;
};

/// Outcome of a change.
struct change_result
{
    /// config_accepted, or the error.
    result_code code = result_code::config_store_unavailable;
    std::string text;
    generation number = 0;
    std::string document;
};

/// Edits a document; returns false and a reason to reject the change.
using configuration_edit = std::function<bool(configuration&, failure_reason&)>;

/// Not thread-safe.
class config_store
{
public:
    /// The client must outlive this object.
    explicit config_store(etcd_client& client) : client(client)
    {
    }

    /// Reads the document; an empty store yields generation zero. Nullopt and a
    /// reason if the store does not respond or the document is invalid.
    boost::asio::awaitable<std::optional<stored_configuration>>
    read(failure_reason& reason);

    /// Applies an edit to the current document and writes the result.
    boost::asio::awaitable<change_result>
    change(change_request request, configuration_edit edit);

    /// Determines the outcome of a change; config_undecided if not yet known.
    boost::asio::awaitable<change_result>
    find_outcome(std::string change_id, generation number);

    /// Reads all audit records, ordered by generation.
    boost::asio::awaitable<std::optional<std::vector<std::string>>>
    read_audit(failure_reason& reason);

private:
    boost::asio::awaitable<std::optional<std::string>>
    previous_hash(generation number);
    boost::asio::awaitable<change_result>
    find_outcome_with_retries(std::string change_id, generation number);

    etcd_client& client;
};

} // namespace masticslip
