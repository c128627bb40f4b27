#pragma once
/// Records for at-most-once execution by one companion incarnation.
///
/// A record is created before a non-idempotent request is sent to the upstream
/// and kept for the record window after the request completes. Follows RIFL
/// (Lee et al., SOSP 2015), but records are volatile and bound to one
/// incarnation by the Echo value.

#include "masticslip/core/coap_message.hpp"
#include "masticslip/core/messages.hpp"
#include "masticslip/core/types.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace masticslip
{

/// Identity of a request: the flow, and the Request-Tag with the Block1 value.
/// Without a Request-Tag: the token and a digest of the contents, because
/// callers may use a token again once its request has ended.
struct request_key
{
    flow_key flow;
    bytes tag;

    bool operator==(const request_key&) const = default;
};

request_digest make_digest(const request_key& key);

request_key make_request_key(const flow_key& flow, const coap_message& request);

} // namespace masticslip

template <>
struct std::hash<masticslip::request_key>
{
    std::size_t operator()(const masticslip::request_key& key) const;
};

namespace masticslip
{

/// State of a recorded request.
struct execution_record
{
    /// Empty while the request is in progress.
    std::optional<coap_message> answer;
    /// Set if the request was transferred, unexecuted, to this companion
    /// incarnation.
    std::optional<instance_incarnation> transferred_to;
    time_point expires;
};

/// Bounded record store. Not thread-safe.
class execution_records
{
public:
    /// Precondition: capacity > 0, window > 0.
    execution_records(std::size_t capacity, duration window)
        : capacity(capacity), window(window)
    {
    }

    /// Returns the record, or null. Valid until the next call.
    [[nodiscard]] const execution_record* find(const request_key& key) const;

    /// Creates a record of a request in progress. Returns false if the store
    /// is full; the request must then not be executed.
    bool begin(time_point now, const request_key& key);

    /// Stores the final response and starts the record window.
    void
    finish(time_point now, const request_key& key, const coap_message& answer);

    /// Records that a request, unexecuted, was transferred to a companion; a
    /// record of it may exist. Returns false if the store is full.
    bool transfer(
        time_point now, const request_key& key, instance_incarnation target);

    [[nodiscard]] const std::unordered_map<request_key, execution_record>&
    all() const
    {
        return this->records;
    }

    /// Removes records whose window has elapsed.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const
    {
        return this->records.size();
    }

private:
    struct expiry
    {
        time_point when;
        request_key key;
    };

    std::size_t capacity;
    duration window;
    std::unordered_map<request_key, execution_record> records;
    std::deque<expiry> expiries;
};

} // namespace masticslip
