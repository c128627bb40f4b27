#pragma once
/// The configuration document in the platform's store: reading, and changing
/// under compare-and-swap.
///
/// A write whose answer was lost is settled by reading back the audit record
/// of its generation; it is never applied again.

#include "change_log.hpp"
#include "etcd_client.hpp"

#include <functional>
#include <optional>
#include <string>

namespace masticslip
{

/// A document with the store's revision of it.
struct stored_configuration
{
    configuration value;
    std::string text;
    std::int64_t revision = 0;
};

/// Who makes a change, and why.
struct change_request
{
    std::string id;
    std::string operator_name;
    std::string reason;
    /// Wall-clock time, microseconds since the Unix epoch.
    std::int64_t now = 0;
};

/// How a change ended.
struct change_result
{
    /// config_accepted, or why not.
    result_code code = result_code::config_store_unavailable;
    std::string text;
    generation number = 0;
    std::string document;
};

/// Edits a document; returns false and a reason to refuse.
using configuration_edit = std::function<bool(configuration&, failure_reason&)>;

/// Not thread-safe.
class config_store
{
public:
    /// The client must outlive this object.
    explicit config_store(etcd_client& client) : client(client)
    {
    }

    /// Reads the document; an empty store gives generation zero. Nullopt and
    /// a reason if the store does not answer or holds an invalid document.
    boost::asio::awaitable<std::optional<stored_configuration>>
    read(failure_reason& reason);

    /// Edits the document as it stands and writes it.
    boost::asio::awaitable<change_result>
    change(change_request request, configuration_edit edit);

    /// Tells what became of a change.
    boost::asio::awaitable<change_result>
    settle(std::string change_id, generation number);

    /// Reads all audit records in order.
    boost::asio::awaitable<std::optional<std::vector<std::string>>>
    read_audit(failure_reason& reason);

private:
    boost::asio::awaitable<std::optional<std::string>>
    previous_hash(generation number);
    boost::asio::awaitable<change_result>
    settle_by_reading(std::string change_id, generation number);

    etcd_client& client;
};

} // namespace masticslip
