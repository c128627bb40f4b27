#pragma once
/// One CoAP client: a UDP socket that sends each packet to a randomly chosen
/// entry, with CoAP retransmission, Echo, Observe, Block1 and Block2.

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

/// Outcome of a request as reported to the caller.
enum class outcome : std::uint8_t
{
    done,
    not_run,
    unknown,
    no_answer
};

const char* to_string(outcome value);

/// Result of one request.
struct request_result
{
    outcome end = outcome::no_answer;
    /// Payload of the response.
    std::string text;
    std::chrono::microseconds latency{};
    /// Max-Age of the response: the least delay before the caller's next
    /// request. Zero if absent.
    std::chrono::seconds retry_after{};
};

using outcome_handler = std::function<void(const request_result&)>;

/// Statistics of one caller's observation of the board.
struct watch_counts
{
    std::uint64_t notifications = 0;
    /// Notifications whose Observe value was not newer (RFC 7641).
    std::uint64_t stale = 0;
    /// Times that the watch timed out or was ended by the server; each is
    /// followed by a new registration.
    std::uint64_t breaks = 0;
    /// Those of `breaks` in which the server sent a response without
    /// Observe; its Max-Age gives the delay of the next registration.
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

    /// Binds to this address; port zero selects a free port.
    bool open(const endpoint& local, std::string& reason);

    /// Sends a sign-up with this id as payload and a random Request-Tag.
    void post(const std::string& id, outcome_handler handler);

    /// Uploads `blocks` blocks whose content begins with the id.
    void upload(
        const std::string& id, std::uint32_t blocks, outcome_handler handler);

    /// Reads the document for this id; the outcome is `done` only if all blocks
    /// were received and belong to this id.
    void read_document(const std::string& id, outcome_handler handler);

    /// Observes the board; registers again if no newer notification arrives
    /// within `timeout`.
    void watch(std::chrono::milliseconds timeout);

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
    bool retry_with_echo(exchange& item, const coap_message& response);
    void on_notification(const coap_message& message);
    /// Delays the next registration by the Max-Age of the answer, or by one
    /// second without it.
    void schedule_registration(const coap_message* answer);
    void acknowledge(const coap_message& message);
    void register_watch();
    void check_watch();
    void send_block(const std::shared_ptr<upload_state>& state);
    void read_block(const std::shared_ptr<document_state>& state);
    void send_to_random_entry(const bytes& datagram);
    static outcome classify_answer(const coap_message* answer);
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
    std::chrono::milliseconds watch_timeout{};
    steady::time_point last_notification;
    std::uint32_t last_observe = 0;
    bool observing = false;
    bool closed = false;
    watch_counts counts;
};

} // namespace masticslip::standins
