#pragma once
/// Numbered result codes reported to callers and operators and in logs.
///
/// docs/RESULT_CODES.md lists their meanings and the action to take. A test
/// checks that it agrees with this list.

#include <array>
#include <cstdint>
#include <string_view>

namespace masticslip
{

/// Every outcome has one number; numbers are never reused.
enum class result_code : std::uint16_t
{
    done = 0,
    // The request was not executed and never will be.
    not_run_echo_required = 101,
    not_run_overloaded = 102,
    not_run_no_upstream = 103,
    not_run_domain_withdrawn = 104,
    not_run_upstream_refused = 105,
    not_run_upload_interrupted = 106,
    not_run_no_configuration = 107,
    not_run_no_route = 108,
    not_run_upstream_leaving = 109,
    not_run_upstream_cold = 110,
    not_run_wait_too_long = 111,
    // It is unknown whether the request was executed.
    unknown_companion_gone = 201,
    unknown_record_expired = 202,
    unknown_upstream_silent = 203,
    unknown_domain_withdrawn = 204,
    unknown_stopping = 205,
    unknown_flow_lost = 206,
    // A watch ended.
    watch_ended_domain_withdrawn = 301,
    watch_ended_stopping = 302,
    // Result of a configuration command.
    config_accepted = 400,
    config_invalid = 401,
    config_conflict = 402,
    config_undecided = 403,
    config_store_unavailable = 404,
    config_not_in_force = 405,
    config_not_found = 406,
    config_records_lost = 407,
    // A packet or message was dropped.
    dropped_malformed = 501,
    dropped_unauthentic = 502,
    dropped_foreign_version = 503,
    dropped_wrong_service = 504,
    dropped_stale = 505,
    dropped_replayed = 506,
    dropped_unknown_flow = 507
};

/// A code with its stable name.
struct result_code_entry
{
    result_code code;
    std::string_view name;
};

/// All codes in ascending order.
extern const std::array<result_code_entry, 35> result_code_table;

/// Returns the stable name of a code.
std::string_view to_string(result_code code);

/// True if the code guarantees that the request neither ran nor will run.
constexpr bool means_not_run(result_code code)
{
    const auto value = static_cast<std::uint16_t>(code);
    return value >= 100 && value < 200;
}

/// True if it is unknown whether the request was executed.
constexpr bool means_unknown(result_code code)
{
    const auto value = static_cast<std::uint16_t>(code);
    return value >= 200 && value < 300;
}

} // namespace masticslip
