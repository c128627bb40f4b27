#pragma once
/// Hash chain of audit records for configuration changes.
///
/// Each change writes the document and one audit record in one transaction.
/// A record contains the hash of its predecessor, so modifying or removing a
/// record that another one follows breaks the chain.

#include "masticslip/core/configuration.hpp"
#include "masticslip/core/failure_reason.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip
{

/// Key prefix of the audit records.
constexpr const char* audit_prefix = "/masticslip/audit/";

/// One accepted change.
struct audit_record
{
    generation number = 0;
    std::string change_id;
    std::string operator_name;
    std::string reason;
    /// Wall-clock time of the request, microseconds since the Unix epoch.
    std::int64_t requested_at = 0;
    /// Differences from the previous document, one per line.
    std::vector<std::string> differences;
    /// Hash of the serialized document.
    std::string document_hash;
    std::string previous_hash;

    bool operator==(const audit_record&) const = default;
};

/// Key of a generation's record; keys sort by generation.
std::string audit_key(generation number);

/// Serializes a record. Its hash is computed over the returned text.
std::string serialize_audit(const audit_record& record);

/// Returns nullopt and a reason if the text is not a JSON object.
std::optional<audit_record>
parse_audit(std::string_view text, failure_reason& reason);

/// Returns the BLAKE2b-256 hash of a text as 64 hex digits.
std::string hash_text(std::string_view text);

/// Describes the differences between two documents, one per line. Generation
/// and change record are not compared.
std::vector<std::string>
describe_differences(const configuration& before, const configuration& after);

/// Verifies the chain of serialized records, ordered by generation. Returns the
/// number of records, or nullopt and the first broken link.
std::optional<std::size_t>
verify_chain(const std::vector<std::string>& records, failure_reason& reason);

} // namespace masticslip
