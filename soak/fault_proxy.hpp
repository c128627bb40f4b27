#pragma once
/// TCP proxy on loopback that harms the connections of one process.
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

/// What the proxy does to every connection.
enum class proxy_mode : std::uint8_t
{
    pass,
    slow,    ///< Each piece of data is held for `delay`.
    refuse,  ///< Closes new connections at once; resets those that are open.
    silent,  ///< Takes data in both directions and passes none.
    one_way, ///< Requests pass, answers do not.
};

/// Not thread-safe; runs on its context.
class fault_proxy
{
public:
    fault_proxy(
        boost::asio::io_context& context, endpoint listen_at, endpoint target);

    /// Listens; false and a reason on failure.
    bool open(std::string& reason);

    [[nodiscard]] endpoint local() const;

    /// Holds for open connections as well.
    void set_mode(proxy_mode mode);

    /// Time that slow connections hold each piece of data.
    static constexpr std::chrono::milliseconds delay{300};

private:
    struct link;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket client);
    boost::asio::awaitable<void> pump(
        std::shared_ptr<link> owner,
        boost::asio::ip::tcp::socket& from,
        boost::asio::ip::tcp::socket& to,
        bool is_answer);

    boost::asio::io_context& context;
    endpoint listen_at;
    endpoint target;
    boost::asio::ip::tcp::acceptor acceptor;
    proxy_mode mode = proxy_mode::pass;
    /// Rises with each refusal, which ends older connections.
    std::uint64_t epoch = 0;
};

} // namespace masticslip::soak
