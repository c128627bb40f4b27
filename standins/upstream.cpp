// Stand-in for an upstream: a CoAP server with a limited number of slots, a
// cold start during which sustained overload makes it collapse, load shedding,
// drain, cancellation, deadlines, a health resource that always reports an idle
// server, and a log of executions.
//
// Resources:
//   GET  /board     state of the board; Observe is supported
//   POST /signup    executed once per request; the payload is its id
//   POST /upload    Block1; executed when the last block arrives
//   GET  /document  Block2; the content depends on the Uri-Query
//   GET  /health    always "ok load=0", whatever the actual load
// The execution log has one line per execution: "<epoch> <resource> <id>".
// Control: POST /control {"action": "cold"|"drain"|"serve"}; GET /stats.

#include "settings/setting_table.hpp"
#include "upstream_server.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace masticslip::standins
{

namespace
{

std::chrono::milliseconds
get_time(const setting_values& values, const std::string& name)
{
    return std::chrono::milliseconds(std::stoul(values.get(name)));
}

} // namespace
} // namespace masticslip::standins

int main(int argc, char** argv)
{
    using namespace masticslip;
    constexpr std::uint64_t max_time = 3'600'000;
    const setting_table table(
        "upstream", "0.1.0",
        {{"bind", "UDP address", "", required(endpoint_value())},
         {"control", "HTTP address for control", "",
          required(endpoint_value())},
         {"companion", "UDP address of the companion", "",
          required(endpoint_value())},
         {"service", "Name of the service", "", required(any_value())},
         {"slots", "Requests run at once", "5", number_value(1, 1000)},
         {"service-time-ms", "Time of one request", "20",
          number_value(0, max_time)},
         {"cold-ms", "Length of the cold start", "2000",
          number_value(0, max_time)},
         {"notify-ms", "Interval of board changes", "500",
          number_value(10, max_time)},
         {"execution-log", "File with a line for each run", "", any_value()}});
    std::vector<std::string> faults;
    const auto values = table.read(argc, argv, faults);
    if (!values)
    {
        std::cerr << "upstream: " << faults.front() << '\n';
        return exit_usage;
    }
    standins::upstream_options options;
    options.bind = *parse_endpoint(values->get("bind"));
    options.control = *parse_endpoint(values->get("control"));
    options.companion = *parse_endpoint(values->get("companion"));
    options.service = values->get("service");
    options.slots =
        static_cast<std::uint32_t>(std::stoul(values->get("slots")));
    options.service_time = standins::get_time(*values, "service-time-ms");
    options.cold_time = standins::get_time(*values, "cold-ms");
    options.notify_interval = standins::get_time(*values, "notify-ms");
    options.log_file = values->get("execution-log");
    boost::asio::io_context context(1);
    standins::upstream server(context, options);
    http_server control(
        context, [&](http_request request, boost::beast::tcp_stream& stream)
        { return server.on_control(std::move(request), stream); });
    std::string reason;
    if (!server.open(reason) || !control.open(options.control, reason))
    {
        std::cerr << "upstream: " << reason << '\n';
        return EXIT_FAILURE;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}
