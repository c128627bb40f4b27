#pragma once
/// One caller: a UDP socket whose packets are sprayed over all entries, with
/// CoAP retransmission, Echo, Observe, Block1 and Block2.

#include "libcoap_codec.hpp"
#include "net/datagram_socket.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace masticslip::standins
{

/// How a request ended, as the caller was told.
enum class outcome : std::uint8_t
{
    done,
    not_run,
    unknown,
    no_answer
};

const char* to_string(outcome value);

/// End of one request.
struct request_result
{
    outcome end = outcome::no_answer;
    /// Payload of the answer.
    std::string text;
    std::chrono::microseconds latency{};
    /// When the caller was told to come back; zero if it was not told.
    std::chrono::seconds retry_after{};
};

using outcome_handler = std::function<void(const request_result&)>;

/// Counts of one caller's watch.
struct watch_counts
{
    std::uint64_t notifications = 0;
    /// Notifications whose Observe value did not rise.
    std::uint64_t stale = 0;
    /// Times that the watch stalled or was ended, and was registered anew.
    std::uint64_t breaks = 0;
    /// Of those, ended by a final answer that said when to come back.
    std::uint64_t ended_by_server = 0;
    std::chrono::milliseconds longest_gap{};
};

/// Not thread-safe.
class caller_session
{
public:
    caller_session(
        boost::asio::io_context& context,
        std::vector<endpoint> entries,
        std::chrono::milliseconds acknowledge_timeout,
        std::uint64_t seed);

    /// Binds to a free port of this address.
    bool open(const endpoint& local, std::string& reason);

    /// Sends a sign-up with this id as payload and Request-Tag.
    void post(const std::string& id, outcome_handler handler);

    /// Uploads `blocks` blocks whose content begins with the id.
    void upload(
        const std::string& id, std::uint32_t blocks, outcome_handler handler);

    /// Reads the document for this id; done only if it is whole and our own.
    void read_document(const std::string& id, outcome_handler handler);

    /// Keeps a watch on the board; without news for `patience` it counts as
    /// broken.
    void watch(std::chrono::milliseconds patience);

    [[nodiscard]] const watch_counts& watch_result() const
    {
        return this->counts;
    }

    void close();

private:
    using steady = std::chrono::steady_clock;
    using answer_handler = std::function<void(const coap_message*)>;

    struct exchange
    {
        coap_message request;
        answer_handler on_answer;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint32_t transmissions = 0;
        std::uint32_t echo_rounds = 0;
    };

    struct upload_state
    {
        std::string id;
        std::string content;
        std::uint32_t blocks = 0;
        std::uint32_t next = 0;
        outcome_handler handler;
        steady::time_point started;
    };

    struct document_state
    {
        std::string id;
        std::uint32_t next = 0;
        outcome_handler handler;
        steady::time_point started;
    };

    coap_message make_request(coap_code code, const std::string& path);
    void start_exchange(coap_message request, answer_handler handler);
    void transmit(const bytes& token);
    void on_datagram(byte_view datagram);
    void on_response(const coap_message& message);
    bool renew_echo(exchange& item, const coap_message& response);
    void on_notification(const coap_message& message);
    /// Schedules the next registration for when the answer says.
    void come_back(const coap_message* answer);
    void acknowledge(const coap_message& message);
    void register_watch();
    void check_watch();
    void send_block(const std::shared_ptr<upload_state>& state);
    void read_block(const std::shared_ptr<document_state>& state);
    void spray(const bytes& datagram);
    static outcome judge(const coap_message* answer);
    static request_result
    make_result(const coap_message* answer, steady::time_point started);

    boost::asio::io_context& context;
    std::vector<endpoint> entries;
    std::chrono::milliseconds acknowledge_timeout;
    std::mt19937_64 random;
    libcoap_codec codec;
    datagram_socket socket;
    std::map<bytes, exchange> exchanges;
    bytes echo;
    std::uint16_t next_message_id = 0;
    std::uint32_t next_token = 0;
    boost::asio::steady_timer watch_timer;
    bytes watch_token;
    std::chrono::milliseconds watch_patience{};
    steady::time_point last_notification;
    std::uint32_t last_observe = 0;
    bool observing = false;
    bool closed = false;
    watch_counts counts;
};

} // namespace masticslip::standins
