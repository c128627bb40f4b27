#pragma once
/// Keeps one entry in step with the configuration in the platform's store.
///
/// Only the few entries chosen by rendezvous hash watch; the others learn
/// from their peers. After a failure the next call waits for an exponential
/// delay with full jitter.

#include "masticslip/core/types.hpp"
#include "platform/etcd_client.hpp"
#include "platform/masticslip_keys.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <random>
#include <string>

namespace masticslip
{

/// Not thread-safe.
class store_watcher
{
public:
    /// Returns whether this process should watch the store now.
    using duty_source = std::function<bool()>;
    using document_handler = std::function<void(const std::string&)>;

    store_watcher(
        boost::asio::io_context& context,
        std::vector<endpoint> servers,
        std::uint64_t seed);

    /// Starts to watch.
    void start(duty_source has_duty, document_handler on_document);

    [[nodiscard]] std::uint64_t calls() const
    {
        return this->client.calls();
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read_and_watch();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    std::chrono::milliseconds note_failure();
    std::chrono::milliseconds backoff();

    boost::asio::io_context& context;
    etcd_client client;
    std::mt19937_64 random;
    duty_source has_duty;
    document_handler on_document;
    unsigned failures = 0;
};

} // namespace masticslip
