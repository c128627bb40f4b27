#pragma once
/// Audit records of configuration changes: a chain of hashes.
///
/// Each change writes the document and one audit record in one transaction.
/// A record names the hash of the one before it, so a record that is changed
/// or removed afterwards breaks the chain.

#include "masticslip/core/configuration.hpp"
#include "masticslip/core/failure_reason.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticslip
{

/// Prefix of the audit records' keys.
constexpr const char* audit_prefix = "/masticslip/audit/";

/// One accepted change.
struct audit_record
{
    generation number = 0;
    std::string change_id;
    std::string operator_name;
    std::string reason;
    /// Wall-clock time of acceptance, microseconds since the Unix epoch.
    std::int64_t accepted_at = 0;
    /// What changed, one line each.
    std::vector<std::string> differences;
    /// Hash of the document as written.
    std::string document_hash;
    std::string previous_hash;

    bool operator==(const audit_record&) const = default;
};

/// Key of the record of a generation; keys sort by generation.
std::string audit_key(generation number);

/// Serializes a record; the text is what the hash covers.
std::string serialize_audit(const audit_record& record);

/// Parses a record.
std::optional<audit_record>
parse_audit(std::string_view text, failure_reason& reason);

/// Hash of a text as 64 hex digits (BLAKE2b-256).
std::string hash_text(std::string_view text);

/// Lines that tell how two documents differ; empty if they are equal but for
/// generation and change record.
std::vector<std::string>
describe_differences(const configuration& before, const configuration& after);

/// Checks the chain of serialized records in order of generation. Returns the
/// number of records, or nullopt and the first broken link.
std::optional<std::size_t>
verify_chain(const std::vector<std::string>& records, failure_reason& reason);

} // namespace masticslip
