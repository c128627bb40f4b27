#include "daemon_settings.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace
{

using namespace masticslip;
namespace data = boost::unit_test::data;

std::optional<daemon_settings>
read(std::vector<const char*> arguments, std::vector<std::string>& faults)
{
    arguments.insert(arguments.begin(), "masticslipd");
    return read_daemon_settings(
        static_cast<int>(arguments.size()), arguments.data(), faults);
}

std::vector<const char*> entry_arguments()
{
    return {
        "--role",
        "entry",
        "--failure-domain",
        "kgl-nyr",
        "--internal-bind",
        "127.0.0.1:7000",
        "--admin-bind",
        "127.0.0.1:7001",
        "--key",
        "00112233445566778899aabbccddeeff"};
}

struct bad_value
{
    const char* flag;
    const char* value;
    const char* fault;
};

std::ostream& operator<<(std::ostream& out, const bad_value& item)
{
    return out << item.flag << '=' << item.value;
}

const bad_value bad_values[] = {
    {"--internal-bind", "localhost", "IPv4 address and port"},
    {"--admin-bind", "127.0.0.1:99999", "IPv4 address and port"},
    {"--key", "abc", "32 hexadecimal digits"},
    {"--role", "both", "must be one of entry companion"},
    {"--seeds", "127.0.0.1:1,here", "'here' is not an IPv4 address"},
    {"--cache-flows", "-1", "whole number from 2"},
    {"--cache-flows", "1e3", "whole number from 2"},
    {"--log-level", "loud", "must be one of debug"},
    {"--limit-policy", "", "must be one of fixed"},
    {"--failure-domain", "", "must be given"}};

} // namespace

BOOST_AUTO_TEST_SUITE(setting_table_values)

BOOST_AUTO_TEST_CASE(reads_flags)
{
    std::vector<std::string> faults;
    const auto settings = read(entry_arguments(), faults);
    BOOST_REQUIRE_MESSAGE(settings, (faults.empty() ? "" : faults[0]));
    BOOST_TEST(settings->is_entry);
    BOOST_TEST(settings->cache_flows == 400'000U);
    BOOST_TEST(settings->keys.size() == 1U);
}

BOOST_AUTO_TEST_CASE(flag_goes_before_environment_variable)
{
    ::setenv("MASTICSLIP_CACHE_FLOWS", "1000", 1);
    ::setenv("MASTICSLIP_FAILURE_DOMAIN", "kgl-gas", 1);
    std::vector<std::string> faults;
    const auto settings = read(entry_arguments(), faults);
    ::unsetenv("MASTICSLIP_CACHE_FLOWS");
    ::unsetenv("MASTICSLIP_FAILURE_DOMAIN");
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->cache_flows == 1000U);
    BOOST_TEST(settings->failure_domain == "kgl-nyr");
}

BOOST_DATA_TEST_CASE(names_a_bad_value, data::make(bad_values), item)
{
    auto arguments = entry_arguments();
    const auto position = std::find_if(
        arguments.begin(), arguments.end(),
        [&](const char* text) { return std::string_view(text) == item.flag; });
    if (position != arguments.end())
    {
        *(position + 1) = item.value;
    }
    else
    {
        arguments.insert(arguments.end(), {item.flag, item.value});
    }
    std::vector<std::string> faults;
    BOOST_TEST(!read(arguments, faults));
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(
        faults[0].find(item.fault) != std::string::npos,
        "'" << faults[0] << "' lacks '" << item.fault << "'");
}

BOOST_AUTO_TEST_CASE(names_every_fault_at_once)
{
    std::vector<std::string> faults;
    BOOST_TEST(!read({"--role", "entry", "--key", "x"}, faults));
    BOOST_TEST(faults.size() == 4U);
}

BOOST_AUTO_TEST_CASE(companion_needs_its_upstream)
{
    auto arguments = entry_arguments();
    arguments[1] = "companion";
    std::vector<std::string> faults;
    BOOST_TEST(!read(arguments, faults));
    BOOST_TEST(faults.size() == 4U);
}

BOOST_AUTO_TEST_CASE(unknown_flag_is_a_fault)
{
    auto arguments = entry_arguments();
    arguments.push_back("--colour");
    std::vector<std::string> faults;
    BOOST_TEST(!read(arguments, faults));
    BOOST_TEST(!faults.empty());
}

BOOST_AUTO_TEST_SUITE_END()
