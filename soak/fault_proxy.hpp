#pragma once
/// TCP proxy on loopback that injects faults into the connections of one
/// process.
///
///     fault_proxy proxy(context, listen_at, store_address);
///     proxy.open(reason);
///     proxy.set_mode(proxy_mode::silent);

#include "masticslip/core/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace masticslip::soak
{

/// Fault that the proxy applies to every connection.
enum class proxy_mode : std::uint8_t
{
    pass,
    slow,    ///< Delays each chunk of data by `delay`.
    refuse,  ///< Closes new connections at once; resets open ones.
    silent,  ///< Reads and discards data in both directions.
    one_way, ///< Forwards requests and discards responses.
};

/// Not thread-safe; runs on the given context.
class fault_proxy
{
public:
    fault_proxy(
        boost::asio::io_context& context, endpoint listen_at, endpoint target);

    /// Starts to listen; returns false and sets `reason` on failure.
    bool open(std::string& reason);

    [[nodiscard]] endpoint local() const;

    /// Applies to open connections as well.
    void set_mode(proxy_mode mode);

    /// Delay of each chunk of data in mode `slow`.
    static constexpr std::chrono::milliseconds delay{300};

private:
    struct connection;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket client);
    boost::asio::awaitable<void> pump(
        std::shared_ptr<connection> owner,
        boost::asio::ip::tcp::socket& from,
        boost::asio::ip::tcp::socket& to,
        bool is_answer);

    boost::asio::io_context& context;
    endpoint listen_at;
    endpoint target;
    boost::asio::ip::tcp::acceptor acceptor;
    proxy_mode mode = proxy_mode::pass;
    /// Incremented when mode `refuse` is set; connections of an older epoch
    /// are reset.
    std::uint64_t epoch = 0;
};

} // namespace masticslip::soak
