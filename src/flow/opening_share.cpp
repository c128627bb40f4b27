#include "masticslip/flow/opening_share.hpp"

#include <algorithm>
#include <tuple>

namespace masticslip
{

std::vector<double> route_shares(std::span<const std::uint32_t> priorities)
{
    if (priorities.empty())
    {
        return {};
    }
    const auto routes = static_cast<double>(priorities.size());
    const std::uint32_t highest =
        *std::min_element(priorities.begin(), priorities.end());
    const auto of_highest = static_cast<double>(
        std::count(priorities.begin(), priorities.end(), highest));
    const double floor = std::min(min_route_share, 1.0 / routes);
    const double rest = 1.0 - floor * (routes - of_highest);
    std::vector<double> shares;
    shares.reserve(priorities.size());
    for (const std::uint32_t priority : priorities)
    {
        shares.push_back(priority == highest ? rest / of_highest : floor);
    }
    return shares;
}

void opening_share::sort(
    time_point answer_time, std::vector<waiting_opening>& openings)
{
    sort_waiting(answer_time, openings);
    std::map<endpoint, std::vector<waiting_opening>> queues;
    std::map<endpoint, std::uint32_t> priorities;
    for (const waiting_opening& item : openings)
    {
        queues[item.flow.target].push_back(item);
        priorities[item.flow.target] = item.priority;
    }
    this->start_sort(priorities);
    /// A route's queue, and its progress.
    struct turn
    {
        std::vector<waiting_opening> queue;
        std::size_t position = 0;
        double next_place = 0;
        double cost = 1;
    };
    std::vector<turn> turns;
    turns.reserve(queues.size());
    for (auto& [target, queue] : queues)
    {
        const route_state& route = this->routes[target];
        set_rounds(route, queue);
        turns.push_back(
            {std::move(queue), 0,
             std::max(route.next_place, this->virtual_time), route.cost});
    }
    const auto rank = [](const turn& item)
    {
        const bool is_empty = item.position == item.queue.size();
        return std::make_tuple(
            is_empty, item.next_place, item.cost,
            is_empty ? 0 : item.queue[item.position].arrival);
    };
    for (waiting_opening& target : openings)
    {
        turn& next = *std::min_element(
            turns.begin(), turns.end(),
            [&rank](const turn& first, const turn& second)
            { return rank(first) < rank(second); });
        target = next.queue[next.position++];
        next.next_place += next.cost;
    }
}

void opening_share::start_sort(
    const std::map<endpoint, std::uint32_t>& priorities)
{
    std::erase_if(
        this->routes,
        [this, &priorities](const auto& item)
        {
            return !priorities.contains(item.first) &&
                   item.second.next_place <= this->virtual_time;
        });
    std::vector<std::uint32_t> values;
    values.reserve(priorities.size());
    for (const auto& [target, priority] : priorities)
    {
        values.push_back(priority);
    }
    const std::vector<double> shares = route_shares(values);
    std::size_t position = 0;
    for (const auto& [target, priority] : priorities)
    {
        route_state& route = this->routes[target];
        route.cost = 1.0 / shares[position++];
        std::erase_if(
            route.next_rounds,
            [&route](const auto& item) { return item.second <= route.round; });
    }
}

std::uint64_t
opening_share::next_round(const route_state& route, std::uint32_t address)
{
    const auto found = route.next_rounds.find(address);
    return found == route.next_rounds.end()
               ? route.round
               : std::max(route.round, found->second);
}

void opening_share::set_rounds(
    const route_state& route, std::vector<waiting_opening>& openings)
{
    std::unordered_map<std::uint32_t, std::uint64_t> places;
    for (waiting_opening& item : openings)
    {
        const std::uint32_t address = item.flow.caller.address;
        item.round = next_round(route, address) + places[address]++;
    }
    std::stable_sort(
        openings.begin(), openings.end(),
        [](const waiting_opening& first, const waiting_opening& second)
        { return first.round < second.round; });
}

void opening_share::on_placed(const flow_endpoints& flow)
{
    route_state& route = this->routes[flow.target];
    const double start = std::max(route.next_place, this->virtual_time);
    this->virtual_time = start;
    route.next_place = start + route.cost;
    const std::uint64_t round = next_round(route, flow.caller.address);
    route.round = round;
    route.next_rounds[flow.caller.address] = round + 1;
}

void opening_share::on_returned(const flow_endpoints& flow)
{
    const auto route = this->routes.find(flow.target);
    if (route == this->routes.end())
    {
        return;
    }
    route->second.next_place -= route->second.cost;
    const auto address = route->second.next_rounds.find(flow.caller.address);
    if (address != route->second.next_rounds.end())
    {
        --address->second;
    }
}

} // namespace masticslip
