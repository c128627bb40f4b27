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
/// Batches taken before other work of the process gets its turn.
constexpr int max_batches_per_wait = 8;

sockaddr_in to_native(const endpoint& value)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(value.address);
    native.sin_port = htons(value.port);
    return native;
}

endpoint from_native(const sockaddr_in& native)
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
    // The kernel may grant less; that is not an error.
    this->socket.set_option(
        udp::socket::receive_buffer_size(socket_buffer_size), error);
    this->socket.set_option(
        udp::socket::send_buffer_size(socket_buffer_size), error);
    return true;
}

void datagram_socket::start(handler handler)
{
    this->on_datagram = std::move(handler);
    this->slots.resize(batch * this->slot_size);
    this->wait();
}

void datagram_socket::send(const endpoint& to, byte_view datagram)
{
    const sockaddr_in native = to_native(to);
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

void datagram_socket::wait()
{
    this->socket.async_wait(
        udp::socket::wait_read,
        [this](const boost::system::error_code& error)
        {
            if (error)
            {
                return;
            }
            for (int i = 0; i < max_batches_per_wait; ++i)
            {
                if (!this->receive_batch())
                {
                    break;
                }
            }
            if (this->socket.is_open())
            {
                this->wait();
            }
        });
}

bool datagram_socket::receive_batch()
{
    std::array<mmsghdr, batch> headers{};
    std::array<iovec, batch> vectors{};
    std::array<sockaddr_in, batch> senders{};
    for (std::size_t i = 0; i < batch; ++i)
    {
        vectors[i] = {
            this->slots.data() + i * this->slot_size, this->slot_size};
        headers[i].msg_hdr.msg_iov = &vectors[i];
        headers[i].msg_hdr.msg_iovlen = 1;
        headers[i].msg_hdr.msg_name = &senders[i];
        headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = ::recvmmsg(
        this->socket.native_handle(), headers.data(), batch, 0, nullptr);
    for (int i = 0; i < count; ++i)
    {
        const auto index = static_cast<std::size_t>(i);
        this->on_datagram(
            from_native(senders[index]),
            {this->slots.data() + index * this->slot_size,
             headers[index].msg_len});
        if (!this->socket.is_open())
        {
            return false;
        }
    }
    return count == static_cast<int>(batch);
}

} // namespace masticslip
