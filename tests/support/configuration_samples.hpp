#pragma once
/// A configuration document for tests of its check.

#include "masticslip/core/configuration_check.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace masticslip::testing
{

/// Gives no finding by itself.
inline const std::string clean_document = R"({"schema": 1,
 "services": [
  {"name": "pages", "protocol": "datagram", "cold_flows_per_second": 20},
  {"name": "files", "protocol": "datagram"},
  {"name": "boards", "address": "10.0.0.1:5683"}],
 "routes": [
  {"name": "read", "address": "198.18.0.1:8080", "service": "pages",
   "kind": "safe", "time_limit_ms": 1200, "target_latency_ms": 250},
  {"name": "send", "address": "198.18.0.2:8080", "service": "files",
   "kind": "upload", "time_limit_ms": 4000, "priority": 2}],
 "flow_idle_limit_ms": 12000,
 "failure_domains": ["north", "south"],
 "withdrawn_domains": ["south"],
 "presets": [
  {"name": "ordinary", "weights": {"north": 2}},
  {"name": "peak", "limits": {"max_in_flight": 8}}],
 "preset_in_force": "ordinary"}
)";

inline std::string replace(const char* text, const char* replacement)
{
    std::string result = clean_document;
    const std::string original = text;
    const auto position = result.find(original);
    BOOST_REQUIRE_MESSAGE(position != std::string::npos, original);
    result.replace(position, original.size(), replacement);
    return result;
}

/// Lists findings for messages of failed cases.
inline std::string list(const std::vector<configuration_finding>& findings)
{
    std::string result;
    for (const auto& item : findings)
    {
        result += std::string(to_string(item.severity)) + " " +
                  std::string(to_string(item.kind)) + " " + item.path + ": " +
                  item.text + " [" + item.effect + "]";
        if (item.place)
        {
            result += " at " + std::to_string(item.place->line) + ":" +
                      std::to_string(item.place->column);
        }
        result += "\n";
    }
    return result;
}

inline configuration parse(const std::string& text)
{
    failure_reason reason;
    const auto result = parse_configuration(text, reason);
    BOOST_REQUIRE_MESSAGE(result, reason.text);
    return *result;
}

} // namespace masticslip::testing
