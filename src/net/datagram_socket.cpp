#include "datagram_socket.hpp"

#include <boost/asio/buffer.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

namespace masticslip
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr int socket_buffer_size = 4 * 1024 * 1024;
/// Batches received before control returns to the event loop, so that a busy
/// socket does not starve other handlers.
constexpr int max_batches_per_wakeup = 8;

sockaddr_in to_sockaddr(const endpoint& value)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(value.address);
    native.sin_port = htons(value.port);
    return native;
}

endpoint from_sockaddr(const sockaddr_in& native)
{
    return {ntohl(native.sin_addr.s_addr), ntohs(native.sin_port)};
}

} // namespace

udp::endpoint to_udp(const endpoint& value)
{
    return {asio::ip::address_v4(value.address), value.port};
}

endpoint from_udp(const udp::endpoint& value)
{
    return {value.address().to_v4().to_uint(), value.port()};
}

bool datagram_socket::open(const endpoint& local, std::string& reason)
{
    boost::system::error_code error;
    this->socket.open(udp::v4(), error);
    if (!error)
    {
        this->socket.bind(to_udp(local), error);
    }
    if (!error)
    {
        this->socket.non_blocking(true, error);
    }
    if (error)
    {
        reason = "cannot bind " + to_string(local) + ": " + error.message();
        boost::system::error_code ignored;
        this->socket.close(ignored);
        return false;
    }
    // Best effort: the kernel may limit the buffer sizes.
    this->socket.set_option(
        udp::socket::receive_buffer_size(socket_buffer_size), error);
    this->socket.set_option(
        udp::socket::send_buffer_size(socket_buffer_size), error);
    return true;
}

void datagram_socket::start(handler handler)
{
    this->on_datagram = std::move(handler);
    this->receive_buffer.resize(batch_size * this->max_datagram_size);
    this->wait_until_readable();
}

void datagram_socket::send(const endpoint& to, byte_view datagram)
{
    const sockaddr_in native = to_sockaddr(to);
    ::sendto(
        this->socket.native_handle(), datagram.data(), datagram.size(), 0,
        reinterpret_cast<const sockaddr*>(&native), sizeof(native));
}

endpoint datagram_socket::local() const
{
    return from_udp(this->socket.local_endpoint());
}

void datagram_socket::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void datagram_socket::wait_until_readable()
{
    this->socket.async_wait(
        udp::socket::wait_read,
        [this](const boost::system::error_code& error)
        {
            if (error)
            {
                return;
            }
            for (int i = 0; i < max_batches_per_wakeup; ++i)
            {
                if (!this->receive_batch())
                {
                    break;
                }
            }
            if (this->socket.is_open())
            {
                this->wait_until_readable();
            }
        });
}

bool datagram_socket::receive_batch()
{
    std::array<mmsghdr, batch_size> headers{};
    std::array<iovec, batch_size> vectors{};
    std::array<sockaddr_in, batch_size> senders{};
    for (std::size_t i = 0; i < batch_size; ++i)
    {
        vectors[i] = {
            this->receive_buffer.data() + i * this->max_datagram_size,
            this->max_datagram_size};
        headers[i].msg_hdr.msg_iov = &vectors[i];
        headers[i].msg_hdr.msg_iovlen = 1;
        headers[i].msg_hdr.msg_name = &senders[i];
        headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = ::recvmmsg(
        this->socket.native_handle(), headers.data(), batch_size, 0, nullptr);
    for (int i = 0; i < count; ++i)
    {
        const auto index = static_cast<std::size_t>(i);
        this->on_datagram(
            from_sockaddr(senders[index]),
            {this->receive_buffer.data() + index * this->max_datagram_size,
             headers[index].msg_len});
        if (!this->socket.is_open())
        {
            return false;
        }
    }
    return count == static_cast<int>(batch_size);
}

} // namespace masticslip
