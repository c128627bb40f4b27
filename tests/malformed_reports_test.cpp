// The command line against instances whose reports are JSON objects, but not
// of the expected form.

#include "commands.hpp"
#include "net/http.hpp"
#include "platform/change_log.hpp"
#include "platform/etcd_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <thread>

namespace
{

using namespace masticslip;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
namespace json = boost::json;

/// Answers `/status` and `/flows` with given texts and everything else like a
/// store that holds one audit record.
class canned_instance
{
public:
    canned_instance(std::string status, std::string flows)
        : status(std::move(status)), flows(std::move(flows)),
          server(
              this->context,
              [this](http_request request, boost::beast::tcp_stream&)
                  -> boost::asio::awaitable<std::optional<http_response>>
              {
                  co_return make_response(
                      request, boost::beast::http::status::ok,
                      this->answer(std::string(request.target())));
              })
    {
        std::string reason;
        BOOST_REQUIRE_MESSAGE(
            this->server.open(*parse_endpoint("127.0.0.1:0"), reason), reason);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~canned_instance()
    {
        this->context.stop();
        this->thread.join();
    }

    canned_instance(const canned_instance&) = delete;
    canned_instance& operator=(const canned_instance&) = delete;

    [[nodiscard]] endpoint address() const
    {
        return this->server.local();
    }

private:
    std::string answer(const std::string& target)
    {
        if (target == "/status" || target == "/flows")
        {
            std::string text = target == "/status" ? this->status : this->flows;
            const std::string mark = "SELF";
            const auto position = text.find(mark);
            return position == std::string::npos
                       ? text
                       : text.replace(
                             position, mark.size(),
                             to_string(this->server.local()));
        }
        audit_record record;
        record.number = 1;
        const json::object item{
            {"key", encode_base64(audit_key(1))},
            {"value", encode_base64(serialize_audit(record))},
            {"mod_revision", "2"}};
        return json::serialize(
            json::object{{"kvs", json::array{item}}, {"count", "1"}});
    }

    std::string status;
    std::string flows;
    boost::asio::io_context context;
    http_server server;
    std::thread thread;
};

struct report_case
{
    const char* status;
    const char* flows;
};

std::ostream& operator<<(std::ostream& out, const report_case& item)
{
    return out << item.status << ' ' << item.flows;
}

const char* const one_companion =
    R"({"name":"c","members":[{"id":"c","role":"companion",)"
    R"("state":"serving","admin":"SELF"}]})";

const report_case report_cases[] = {
    {"{}", "{}"},
    {R"({"members":7,"history":7,"configuration":7})", "{}"},
    {R"({"members":[7]})", "{}"},
    {R"({"members":[{"id":7,"admin":7,"generation":"x"}]})", "{}"},
    {R"({"history":[7]})", "{}"},
    {R"({"history":[{}]})", "{}"},
    {R"({"history":[{"generation":"1","since_us":1}]})", "{}"},
    {R"({"history":[{"generation":1}]})", "{}"},
    {R"({"history":[{"generation":1,"since_us":[]}]})", "{}"},
    {one_companion, "{}"},
    {one_companion, R"({"flows":7})"},
    {one_companion, R"({"flows":[7]})"},
    {one_companion, R"({"flows":[{"caller":7}]})"}};

const char* const command_cases[] = {
    "status", "upstreams", "flows", "audit", "audit verify"};

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_reports)

BOOST_DATA_TEST_CASE(
    are_passed_over,
    data::make(report_cases) * data::make(command_cases),
    report,
    words)
{
    const canned_instance instance(report.status, report.flows);
    cli_settings settings;
    settings.store = {instance.address()};
    settings.entries = {instance.address()};
    settings.timeout = 2s;
    std::istringstream stream(words);
    for (std::string word; stream >> word;)
    {
        settings.words.push_back(word);
    }
    std::ostringstream out;
    std::ostringstream errors;
    cli_exit exit = cli_exit::failure;
    BOOST_REQUIRE_NO_THROW(exit = run_command(settings, out, errors));
    BOOST_TEST((exit == cli_exit::success), errors.str());
}

BOOST_AUTO_TEST_SUITE_END()
