#pragma once
/// Echo option values (RFC 9175) that bind a non-idempotent request to one
/// incarnation of one companion.
///
///     auto echo = issuer.issue({self, incarnation_number, now});
///     auto claim = issuer.verify(option.value);  // nullopt: invalid
///
/// The value is 40 bytes: companion id, incarnation, issue time and a
/// 16-byte SipHash-2-4 tag under the shared key.

#include "masticslip/core/coap_message.hpp"
#include "masticslip/core/types.hpp"

#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace masticslip
{

/// Key shared by all processes of one deployment.
using shared_key = std::array<std::uint8_t, 16>;

/// Contents of an Echo value.
struct echo_claim
{
    instance_id companion;
    incarnation incarnation_number;
    /// Time on the monotonic clock of the issuing incarnation.
    time_point issued;

    bool operator==(const echo_claim&) const = default;
};

/// Issues and verifies Echo values. Immutable, therefore thread-safe.
class echo_issuer
{
public:
    /// The first key is used for issuing and all keys for verification, so
    /// that values issued before a key rotation remain valid. Precondition:
    /// at least one key.
    explicit echo_issuer(std::vector<shared_key> keys) : keys(std::move(keys))
    {
    }

    [[nodiscard]] bytes issue(const echo_claim& claim) const;

    /// Returns the claim, or nullopt if no key verifies the value.
    [[nodiscard]] std::optional<echo_claim> verify(const bytes& value) const;

private:
    std::vector<shared_key> keys;
};

} // namespace masticslip
