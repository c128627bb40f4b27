#include "masticslip/core/result_code.hpp"

#include <algorithm>

namespace masticslip
{

const std::array<result_code_entry, 35> result_code_table{{
    {result_code::done, "done"},
    {result_code::not_run_echo_required, "not_run_echo_required"},
    {result_code::not_run_overloaded, "not_run_overloaded"},
    {result_code::not_run_no_upstream, "not_run_no_upstream"},
    {result_code::not_run_domain_withdrawn, "not_run_domain_withdrawn"},
    {result_code::not_run_upstream_refused, "not_run_upstream_refused"},
    {result_code::not_run_upload_interrupted, "not_run_upload_interrupted"},
    {result_code::not_run_no_configuration, "not_run_no_configuration"},
    {result_code::not_run_no_route, "not_run_no_route"},
    {result_code::not_run_upstream_leaving, "not_run_upstream_leaving"},
    {result_code::not_run_upstream_cold, "not_run_upstream_cold"},
    {result_code::not_run_wait_too_long, "not_run_wait_too_long"},
    {result_code::unknown_companion_gone, "unknown_companion_gone"},
    {result_code::unknown_record_expired, "unknown_record_expired"},
    {result_code::unknown_upstream_silent, "unknown_upstream_silent"},
    {result_code::unknown_domain_withdrawn, "unknown_domain_withdrawn"},
    {result_code::unknown_stopping, "unknown_stopping"},
    {result_code::unknown_flow_lost, "unknown_flow_lost"},
    {result_code::watch_ended_domain_withdrawn, "watch_ended_domain_withdrawn"},
    {result_code::watch_ended_stopping, "watch_ended_stopping"},
    {result_code::config_accepted, "config_accepted"},
    {result_code::config_invalid, "config_invalid"},
    {result_code::config_conflict, "config_conflict"},
    {result_code::config_undecided, "config_undecided"},
    {result_code::config_store_unavailable, "config_store_unavailable"},
    {result_code::config_not_in_force, "config_not_in_force"},
    {result_code::config_not_found, "config_not_found"},
    {result_code::config_records_lost, "config_records_lost"},
    {result_code::dropped_malformed, "dropped_malformed"},
    {result_code::dropped_unauthentic, "dropped_unauthentic"},
    {result_code::dropped_foreign_version, "dropped_foreign_version"},
    {result_code::dropped_wrong_service, "dropped_wrong_service"},
    {result_code::dropped_stale, "dropped_stale"},
    {result_code::dropped_replayed, "dropped_replayed"},
    {result_code::dropped_unknown_flow, "dropped_unknown_flow"},
}};

std::string_view to_string(result_code code)
{
    const auto found = std::find_if(
        result_code_table.begin(), result_code_table.end(),
        [code](const result_code_entry& entry) { return entry.code == code; });
    return found == result_code_table.end() ? "invalid" : found->name;
}

} // namespace masticslip
