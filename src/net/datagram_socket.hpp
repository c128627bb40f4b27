#pragma once
/// UDP socket that receives datagrams in batches.

#include "masticslip/core/messages.hpp"
#include "masticslip/core/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// Convert between the core's and Asio's endpoint types.
boost::asio::ip::udp::endpoint to_udp(const endpoint& value);
endpoint from_udp(const boost::asio::ip::udp::endpoint& value);

/// A bound, non-blocking UDP socket. Not thread-safe.
class datagram_socket
{
public:
    using handler = std::function<void(const endpoint&, byte_view)>;

    /// Received datagrams are truncated to `max_size` bytes.
    explicit datagram_socket(
        boost::asio::io_context& context, std::size_t max_size = 65'536)
        : socket(context), max_datagram_size(max_size)
    {
    }

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Opens the socket and binds it to an address; port zero selects a free
    /// port. Returns false and a reason on failure.
    bool open(const endpoint& local, std::string& reason);

    /// Starts to receive. Calls the handler for each datagram, which is valid
    /// only during the call. The handler may close the socket.
    void start(handler on_datagram);

    /// Sends without blocking; a datagram that the kernel does not accept is
    /// dropped silently.
    void send(const endpoint& to, byte_view datagram);

    /// Returns the address that the socket is bound to.
    [[nodiscard]] endpoint local() const;

    void close();

private:
    static constexpr std::size_t batch_size = 32;

    void wait_until_readable();
    bool receive_batch();

    boost::asio::ip::udp::socket socket;
    std::size_t max_datagram_size;
    handler on_datagram;
    std::vector<std::uint8_t> receive_buffer;
};

} // namespace masticslip
