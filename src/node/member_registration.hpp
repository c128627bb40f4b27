#pragma once
/// Keeps one key of this process in the store under a lease.
///
/// A lease that has ended is replaced; while the store does not answer, the
/// renewal is repeated often, so that the key is back soon after the store is.

#include "masticslip/store/key_value_store.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <string>

namespace masticslip
{

/// Not thread-safe. Must outlive the context's run.
class member_registration
{
public:
    member_registration(
        boost::asio::io_context& context,
        key_value_store& store,
        std::string key,
        std::chrono::milliseconds min_lease);

    /// Begins to register the value. Call once.
    void start(std::string value);

    /// The key was seen missing: writes it again soon.
    void on_missing();

    /// Removes the key for good.
    boost::asio::awaitable<void> withdraw();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> grant();
    boost::asio::awaitable<bool> write();
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    bool note(const char* call, store_status status, const std::string& reason);

    key_value_store& store;
    boost::asio::io_context& context;
    boost::asio::steady_timer timer;
    std::string key;
    std::string value;
    std::chrono::milliseconds lifetime;
    lease_id lease = 0;
    bool is_written = false;
    bool is_withdrawn = false;
    unsigned failures = 0;
    std::chrono::steady_clock::time_point written_at;
};

} // namespace masticslip
