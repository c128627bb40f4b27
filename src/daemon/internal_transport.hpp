#pragma once
/// UDP transport for messages between masticslipd processes.

#include "masticslip/core/internal_output.hpp"
#include "masticslip/wire/message_codec.hpp"
#include "net/datagram_socket.hpp"
#include "telemetry/telemetry.hpp"

#include <functional>

namespace masticslip
{

/// Not thread-safe.
class internal_transport
{
public:
    using message_handler = std::function<void(const received_message&)>;
    /// Returns the generation in force in this process.
    using generation_source = std::function<generation()>;

    internal_transport(
        boost::asio::io_context& context,
        wire_identity identity,
        std::vector<shared_key> keys,
        telemetry& metrics)
        : socket(context), codec(identity, std::move(keys)), metrics(metrics)
    {
    }

    bool open(const endpoint& local, std::string& reason)
    {
        return this->socket.open(local, reason);
    }

    void start(message_handler handler, generation_source source);

    void send(instance_id to, const internal_message& message);

    void close()
    {
        this->socket.close();
    }

    /// Bytes sent in control messages (all except forwarded packets and
    /// replies).
    [[nodiscard]] std::uint64_t control_bytes() const
    {
        return this->control_byte_count;
    }

private:
    void on_datagram(byte_view datagram);

    datagram_socket socket;
    message_codec codec;
    telemetry& metrics;
    message_handler on_message;
    generation_source current_generation;
    std::uint64_t control_byte_count = 0;
};

} // namespace masticslip
