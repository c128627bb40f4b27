// Compares the packets per second through one entry process with those through
// a bare Boost.Asio UDP relay: relay_benchmark [SECONDS] [ROUNDS].
//
// Entry and relay each run in a thread of this program. The main thread floods
// them over loopback in alternating rounds, another thread receives; the result
// is the ratio of the medians.

#include "entry_process.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

#include <poll.h>
#include <sodium.h>
#include <sys/socket.h>

namespace
{

using namespace masticslip;
using boost::asio::ip::udp;
using namespace std::chrono_literals;

constexpr endpoint sink_address{0x7f000a02, 7000};
constexpr endpoint entry_internal{0x7f000a03, 7000};
constexpr endpoint entry_admin{0x7f000a03, 7001};
constexpr endpoint entry_service{0x7f000a03, 5683};
constexpr endpoint relay_address{0x7f000a04, 5683};
constexpr std::size_t packet_size = 64;
constexpr std::size_t burst = 16;

constexpr const char* document =
    R"({"schema":1,"generation":1,"services":[{"name":"meetups",)"
    R"("address":"127.0.10.3:5683"}],"failure_domains":["a"],)"
    R"("presets":[{"name":"p"}],"preset_in_force":"p"})";

/// Receives and counts packets.
class packet_sink
{
public:
    packet_sink() : socket(this->context, to_udp(sink_address))
    {
        this->socket.set_option(udp::socket::receive_buffer_size(1 << 24));
        this->thread = std::thread([this] { this->run(); });
    }

    ~packet_sink()
    {
        this->stopping = true;
        this->thread.join();
    }

    std::atomic<std::uint64_t> received{0};

private:
    void run()
    {
        std::array<char, 65536> buffer{};
        pollfd item{this->socket.native_handle(), POLLIN, 0};
        while (!this->stopping)
        {
            if (::poll(&item, 1, 50) <= 0)
            {
                continue;
            }
            while (::recv(item.fd, buffer.data(), buffer.size(), MSG_DONTWAIT) >
                   0)
            {
                ++this->received;
            }
        }
    }

    boost::asio::io_context context;
    udp::socket socket;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/// Baseline: forwards one datagram at a time.
class bare_relay
{
public:
    explicit bare_relay(boost::asio::io_context& context)
        : socket(context, to_udp(relay_address))
    {
        this->socket.set_option(udp::socket::receive_buffer_size(1 << 22));
        this->receive();
    }

private:
    void receive()
    {
        this->socket.async_receive_from(
            boost::asio::buffer(this->buffer), this->sender,
            [this](const boost::system::error_code& error, std::size_t size)
            {
                if (error)
                {
                    return;
                }
                boost::system::error_code ignored;
                this->socket.send_to(
                    boost::asio::buffer(this->buffer.data(), size),
                    to_udp(sink_address), 0, ignored);
                this->receive();
            });
    }

    udp::socket socket;
    udp::endpoint sender;
    std::array<std::uint8_t, 65536> buffer{};
};

/// Creates the callers' sockets, one flow each.
std::vector<udp::socket> make_callers(boost::asio::io_context& context)
{
    std::vector<udp::socket> sockets;
    for (std::size_t i = 0; i < burst; ++i)
    {
        sockets.emplace_back(
            context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    }
    return sockets;
}

/// Floods an address for `time`; returns the packets per second that reached
/// the sink.
double measure(
    packet_sink& sink,
    std::vector<udp::socket>& sockets,
    const endpoint& target,
    std::chrono::milliseconds time)
{
    const std::vector<char> packet(packet_size, 'x');
    const std::uint64_t before = sink.received;
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end)
    {
        for (auto& socket : sockets)
        {
            boost::system::error_code ignored;
            socket.send_to(
                boost::asio::buffer(packet), to_udp(target), 0, ignored);
        }
    }
    return double(sink.received - before) / (double(time.count()) / 1000);
}

daemon_settings entry_settings_for_test()
{
    daemon_settings settings;
    settings.is_entry = true;
    settings.name = "entry";
    settings.failure_domain = "a";
    settings.internal_bind = entry_internal;
    settings.admin_bind = entry_admin;
    settings.keys = {shared_key{1}};
    settings.cache_flows = 400'000;
    return settings;
}

/// Announces a companion at the sink's address and makes it the owner of all
/// flows.
void announce_companion(const std::vector<udp::socket>& callers)
{
    static std::uint64_t incarnation_number = 0;
    ++incarnation_number;
    boost::asio::io_context context;
    datagram_socket socket(context);
    std::string reason;
    socket.open({0x7f000a05, 7000}, reason);
    message_codec codec(
        {{sink_address.packed()}, {incarnation_number}}, {shared_key{1}});
    member_record record;
    record.id = {sink_address.packed()};
    record.incarnation_number = {incarnation_number};
    record.version = 1;
    record.service = make_service_id("meetups");
    record.failure_domain = "a";
    socket.send(
        entry_internal,
        codec.encode({entry_internal.packed()}, 0, heartbeat{record, {}}));
    for (const auto& caller : callers)
    {
        reply_message reply;
        reply.flow = {
            from_udp(caller.local_endpoint()), make_service_id("meetups")};
        socket.send(
            entry_internal, codec.encode({entry_internal.packed()}, 0, reply));
    }
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace

int main(int argc, char** argv)
{
    const auto time =
        std::chrono::milliseconds(argc > 1 ? std::stol(argv[1]) * 1000 : 1000);
    const std::size_t rounds = argc > 2 ? std::stoul(argv[2]) : 5;
    if (sodium_init() < 0)
    {
        return EXIT_FAILURE;
    }
    initialize_log(log_level::error);
    packet_sink sink;
    boost::asio::io_context entry_context(1);
    entry_process entry(entry_context, entry_settings_for_test());
    std::string reason;
    if (!entry.start(reason))
    {
        std::cerr << reason << '\n';
        return EXIT_FAILURE;
    }
    std::thread entry_thread([&] { entry_context.run(); });
    boost::asio::io_context relay_context(1);
    bare_relay relay(relay_context);
    std::thread relay_thread([&] { relay_context.run(); });
    http_call call;
    call.server = entry_admin;
    call.method = boost::beast::http::verb::post;
    call.target = "/configuration";
    call.body = document;
    send_http_blocking(call, reason);
    boost::asio::io_context caller_context;
    auto callers = make_callers(caller_context);
    std::vector<double> through_entry;
    std::vector<double> through_relay;
    for (std::size_t i = 0; i < rounds; ++i)
    {
        announce_companion(callers);
        std::this_thread::sleep_for(100ms);
        through_entry.push_back(measure(sink, callers, entry_service, time));
        through_relay.push_back(measure(sink, callers, relay_address, time));
    }
    const double ratio = median(through_entry) / median(through_relay);
    std::cout << "entry packets/s (median of " << rounds
              << "): " << median(through_entry)
              << "\nrelay packets/s: " << median(through_relay)
              << "\nratio: " << ratio << " (target: at least 0.7)\n";
    entry_context.stop();
    relay_context.stop();
    entry_thread.join();
    relay_thread.join();
    return ratio >= 0.7 ? EXIT_SUCCESS : EXIT_FAILURE;
}
