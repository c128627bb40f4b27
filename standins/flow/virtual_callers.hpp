#pragma once
/// Simulated callers: long-lived flows with idle times, or one flow per
/// request; they duplicate opening packets, retransmit and retry.

#include "event_queue.hpp"
#include "masticslip/core/configuration.hpp"
#include "virtual_packet.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace masticslip::standin
{

/// A class of requests and its load.
struct request_class
{
    std::string name;
    endpoint target;
    request_kind kind = request_kind::safe;
    bool long_flows = true;
    double per_second = 100;
    /// Median service time at the upstream.
    std::chrono::milliseconds work{30};
    std::uint16_t parts = 1;
    std::chrono::milliseconds target_latency{150};
    std::chrono::milliseconds time_limit{1'000};
    int retries = 2;
};

/// Outcomes of the requests of one class.
struct class_result
{
    /// Requests that were begun; retries do not count.
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::vector<double> latencies_ms;
};

/// Not thread-safe.
class virtual_callers
{
public:
    /// Sends a packet from a caller to the entries.
    using sender = std::function<void(const virtual_packet&)>;

    virtual_callers(event_queue& queue, std::uint64_t seed, sender send)
        : queue(queue), random(seed), send(std::move(send))
    {
    }

    /// Sets the first of the consecutive addresses that callers use.
    void set_first_address(std::uint32_t address)
    {
        this->first_address = address;
    }

    /// Generates requests of a class until `end`.
    void start(const request_class& item, time_point end);

    /// Handles a packet for a caller.
    void on_packet(const virtual_packet& packet);

    /// Handles a reset that an entry or companion generated, not an upstream.
    void on_reset(const flow_endpoints& flow, std::uint32_t sequence);

    /// True if a reset with this sequence number closes the flow: on an open
    /// flow it must lie within a window around the caller's acknowledgement.
    [[nodiscard]] bool
    accepts_reset(const flow_endpoints& flow, std::uint32_t sequence) const;

    /// True if the flow belongs to an established connection.
    [[nodiscard]] bool is_open(const flow_endpoints& flow) const;

    [[nodiscard]] const std::map<std::string, class_result>& results() const
    {
        return this->by_class;
    }

    /// Last flow of each request that was not answered.
    [[nodiscard]] const std::vector<flow_endpoints>& failed_flows() const
    {
        return this->failed;
    }

    /// Last flow of each request that was answered late.
    [[nodiscard]] const std::vector<flow_endpoints>& late_flows() const
    {
        return this->late;
    }

    /// Requests in progress whose flow is established.
    [[nodiscard]] std::set<std::uint64_t> open_requests() const;

    /// Requests that were not answered.
    [[nodiscard]] const std::vector<std::uint64_t>& failed_requests() const
    {
        return this->unanswered;
    }

    /// Unsafe requests of which callers know that they did not run.
    [[nodiscard]] const std::vector<std::uint64_t>& refused_requests() const
    {
        return this->refused;
    }

    /// True if a request may be executed more than once.
    [[nodiscard]] bool is_idempotent(std::uint64_t request) const
    {
        return !this->non_idempotent.contains(request);
    }

    /// Service time of a request at its upstream.
    [[nodiscard]] duration work_of(std::uint64_t request) const;

    /// Fraction of the finished requests sent in [from, to) that were answered;
    /// 1 if there are none.
    [[nodiscard]] double served_share(time_point from, time_point to) const;

private:
    struct user
    {
        std::size_t class_index = 0;
        std::optional<flow_endpoints> flow;
        flow_endpoints last_flow;
        bool open = false;
        std::uint32_t caller_sequence = 0;
        std::uint32_t upstream_sequence = 0;
        std::uint64_t request = 0;
        int retries_left = 0;
        time_point asked;
        /// Incremented to invalidate the timers that are pending.
        std::uint64_t timer_generation = 0;
    };

    struct ended_request
    {
        time_point asked;
        bool served = false;
    };

    void begin_request(std::size_t index);
    void open_flow(std::size_t index);
    void send_opening(
        std::size_t index, std::uint64_t timer_generation, std::uint32_t copy);
    void send_request(
        std::size_t index, std::uint64_t timer_generation, duration pause);
    void fail_attempt(std::size_t index, bool may_have_run);
    void finish(std::size_t index, bool served);
    void close(user& item);
    duration time_to_next_request(const request_class& item);

    event_queue& queue;
    std::mt19937_64 random;
    sender send;
    std::vector<request_class> classes;
    std::vector<user> users;
    std::vector<time_point> class_ends;
    std::map<flow_endpoints, std::size_t> by_flow;
    std::map<std::string, class_result> by_class;
    std::map<std::uint64_t, duration> work;
    std::vector<ended_request> ended;
    std::vector<flow_endpoints> failed;
    std::vector<flow_endpoints> late;
    std::vector<std::uint64_t> unanswered;
    std::vector<std::uint64_t> refused;
    std::set<std::uint64_t> non_idempotent;
    std::uint64_t next_request = 1;
    std::uint32_t first_address = 0x64400000;
    std::uint32_t next_port = 0;
};

} // namespace masticslip::standin
