#pragma once
/// UDP socket that receives in batches.

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

/// Converts between the core's and Asio's endpoint types.
boost::asio::ip::udp::endpoint to_udp(const endpoint& value);
endpoint from_udp(const boost::asio::ip::udp::endpoint& value);

/// A bound, non-blocking UDP socket. Not thread-safe.
class datagram_socket
{
public:
    using handler = std::function<void(const endpoint&, byte_view)>;

    /// Datagrams beyond `max_size` bytes are cut.
    explicit datagram_socket(
        boost::asio::io_context& context, std::size_t max_size = 65'536)
        : socket(context), slot_size(max_size)
    {
    }

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Binds to an address; port zero takes any free port. Returns false and
    /// a reason if the address cannot be used.
    bool open(const endpoint& local, std::string& reason);

    /// Calls the handler for each datagram from now on. The datagram is valid
    /// only during the call.
    void start(handler on_datagram);

    /// Sends at once; a datagram that the kernel does not take is lost.
    void send(const endpoint& to, byte_view datagram);

    /// Address that the socket is bound to.
    [[nodiscard]] endpoint local() const;

    void close();

private:
    static constexpr std::size_t batch = 32;

    void wait();
    bool receive_batch();

    boost::asio::ip::udp::socket socket;
    std::size_t slot_size;
    handler on_datagram;
    std::vector<std::uint8_t> slots;
};

} // namespace masticslip
