#pragma once
/// Simulated upstream with worker slots, a queue, cold start, draining and
/// return of packets that it cannot handle.

#include "event_queue.hpp"
#include "masticslip/flow/upstream_status.hpp"
#include "virtual_packet.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace masticslip::standin
{

/// Parameters of an upstream.
struct host_shape
{
    std::string service;
    std::string failure_domain;
    std::uint32_t slots = 5;
    std::size_t queue = 20;
    std::chrono::milliseconds cold_time{2'000};
    /// Factor by which service times are longer while cold.
    double cold_factor = 1.6;
};

/// Not thread-safe.
class virtual_host
{
public:
    using sender = std::function<void(const virtual_packet&)>;

    virtual_host(
        event_queue& queue, host_shape shape, std::string id, sender send)
        : queue(queue), shape(std::move(shape)), id(std::move(id)),
          send(std::move(send))
    {
    }

    /// Starts with empty state; the first start is warm.
    void start(bool is_cold);
    /// Terminates at once. With `bounces`, its machine returns packets that
    /// arrive while it is down.
    void crash(bool bounces = false);
    void drain()
    {
        this->is_draining = true;
    }

    void on_packet(const virtual_packet& packet, duration work);

    /// The next status message.
    upstream_status next_status();

    [[nodiscard]] bool is_alive() const
    {
        return this->alive;
    }

    [[nodiscard]] bool holds(const flow_endpoints& flow) const
    {
        const auto found = this->flows.find(flow);
        return this->alive && found != this->flows.end() && found->second.open;
    }

    [[nodiscard]] bool is_cold() const
    {
        return this->queue.now() < this->cold_until;
    }

    [[nodiscard]] const host_shape& parameters() const
    {
        return this->shape;
    }

    /// Times at which opening packets of new flows were accepted.
    std::vector<time_point> openings;
    /// Number of executions of each request, by its id.
    std::map<std::uint64_t, int> runs;
    /// Called when an execution begins, if set.
    std::function<void(std::uint64_t request)> on_run;

private:
    struct flow_state
    {
        std::uint32_t sequence = 0;
        bool open = false;
        std::set<std::uint16_t> parts;
        std::uint64_t request = 0;
        bool running = false;
        /// Answer to the newest request, sent again on its retransmission.
        std::optional<virtual_packet> answer;
    };

    struct job
    {
        flow_endpoints flow;
        std::uint64_t request = 0;
        duration work{};
    };

    void bounce(const virtual_packet& packet);
    void
    take_data(flow_state& flow, const virtual_packet& packet, duration work);
    void start_work();
    void answer(const job& item, bool not_run);

    event_queue& queue;
    host_shape shape;
    std::string id;
    sender send;
    std::map<flow_endpoints, flow_state> flows;
    std::deque<job> waiting;
    std::uint32_t busy = 0;
    std::uint32_t next_sequence = 1'000'000;
    std::uint64_t status_sequence = 0;
    std::uint64_t incarnation_number = 0;
    std::chrono::milliseconds started{};
    time_point cold_until;
    bool alive = false;
    bool is_bouncing = false;
    bool is_draining = false;
};

} // namespace masticslip::standin
