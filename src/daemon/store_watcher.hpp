#pragma once
/// Watches the platform's store for configuration changes.
///
/// Only a few entries, selected by rendezvous hashing, watch the store; the
/// others receive changes from their peers. Failed calls are retried with
/// exponential backoff and full jitter.

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
    using watch_condition = std::function<bool()>;
    using document_handler = std::function<void(const std::string&)>;

    store_watcher(
        boost::asio::io_context& context,
        std::vector<endpoint> servers,
        std::uint64_t seed);

    void start(watch_condition should_watch, document_handler on_document);

    [[nodiscard]] std::uint64_t calls() const
    {
        return this->client.calls();
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read_and_watch();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    std::chrono::milliseconds record_failure();
    /// Logs the first of several failing watches in a row.
    void log_watch(bool has_change);
    std::chrono::milliseconds backoff();

    boost::asio::io_context& context;
    etcd_client client;
    std::mt19937_64 random;
    watch_condition should_watch;
    document_handler on_document;
    unsigned failures = 0;
    bool watch_failing = false;
};

} // namespace masticslip
