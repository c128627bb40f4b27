// Stand-in for callers, and load generator: many flows that send each packet to
// a randomly chosen entry. Prints a progress line each second and a JSON
// summary at the end; writes one line "<id> <outcome> <answer>" for each
// request.

#include "caller_session.hpp"
#include "settings/setting_table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace masticslip::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace
{

struct caller_options
{
    std::vector<endpoint> entries;
    endpoint bind;
    std::string work;
    std::string prefix;
    std::string result_log;
    std::uint32_t callers = 1;
    std::uint32_t requests = 1;
    std::uint32_t blocks = 4;
    std::chrono::milliseconds duration{};
    std::chrono::milliseconds pause{};
    std::chrono::milliseconds acknowledge_timeout{};
    std::chrono::milliseconds watch_timeout{};
    std::uint64_t seed = 1;
};

class load_generator
{
public:
    load_generator(asio::io_context& context, caller_options options)
        : context(context), options(std::move(options)), progress(context),
          finish_timer(context)
    {
        if (!this->options.result_log.empty())
        {
            this->results.open(this->options.result_log);
        }
    }

    bool start(std::string& reason)
    {
        for (std::uint32_t i = 0; i < this->options.callers; ++i)
        {
            this->sessions.push_back(std::make_unique<caller_session>(
                this->context, this->options.entries,
                this->options.acknowledge_timeout, this->options.seed + i));
            this->timers.push_back(
                std::make_unique<asio::steady_timer>(this->context));
            if (!this->sessions.back()->open(this->options.bind, reason))
            {
                return false;
            }
            this->start_caller(i);
        }
        this->report_progress();
        this->finish_timer.expires_after(this->options.duration);
        this->finish_timer.async_wait([this](auto) { this->finish(); });
        return true;
    }

    void print_summary() const
    {
        json::object counts;
        for (const auto& [name, count] : this->outcomes)
        {
            counts[name] = count;
        }
        watch_counts total;
        for (const auto& session : this->sessions)
        {
            const watch_counts& item = session->watch_result();
            total.notifications += item.notifications;
            total.stale += item.stale;
            total.breaks += item.breaks;
            total.ended_by_server += item.ended_by_server;
            total.longest_gap = std::max(total.longest_gap, item.longest_gap);
        }
        const json::object summary{
            {"callers", this->options.callers},
            {"outcomes", counts},
            {"latency_us",
             {{"p50", this->percentile(50)},
              {"p90", this->percentile(90)},
              {"p99", this->percentile(99)}}},
            {"watch",
             {{"notifications", total.notifications},
              {"stale", total.stale},
              {"breaks", total.breaks},
              {"ended_by_server", total.ended_by_server},
              {"longest_gap_ms", total.longest_gap.count()}}}};
        std::cout << json::serialize(summary) << '\n';
    }

private:
    void start_caller(std::uint32_t index)
    {
        if (this->options.work == "watch")
        {
            this->sessions[index]->watch(this->options.watch_timeout);
            return;
        }
        if (this->options.work == "mixed")
        {
            this->sessions[index]->watch(this->options.watch_timeout);
        }
        this->next_request(index, 0);
    }

    void next_request(std::uint32_t index, std::uint32_t number)
    {
        if (number >= this->options.requests || this->finished)
        {
            ++this->idle_callers;
            this->finish_if_idle();
            return;
        }
        const std::string id = this->options.prefix + std::to_string(index) +
                               "-" + std::to_string(number);
        auto handler = [this, index, number, id](const request_result& result)
        {
            this->record(id, result);
            this->timers[index]->expires_after(std::max<steady::duration>(
                this->options.pause, result.retry_after));
            this->timers[index]->async_wait(
                [this, index, number](const boost::system::error_code& error)
                {
                    if (!error)
                    {
                        this->next_request(index, number + 1);
                    }
                });
        };
        this->send_request(index, number, id, std::move(handler));
    }

    void send_request(
        std::uint32_t index,
        std::uint32_t number,
        const std::string& id,
        outcome_handler handler)
    {
        caller_session& session = *this->sessions[index];
        const std::string& work = this->options.work;
        const bool mixed = work == "mixed";
        if (work == "upload" || (mixed && number % 5 == 3))
        {
            session.upload(id, this->options.blocks, std::move(handler));
        }
        else if (work == "document" || (mixed && number % 5 == 1))
        {
            session.read_document(id, std::move(handler));
        }
        else
        {
            session.post(id, std::move(handler));
        }
    }

    void record(const std::string& id, const request_result& result)
    {
        ++this->outcomes[to_string(result.end)];
        if (result.end == outcome::done)
        {
            this->latencies.push_back(result.latency.count());
        }
        if (this->results.is_open())
        {
            this->results << id << ' ' << to_string(result.end) << ' '
                          << result.text << '\n';
        }
    }

    void finish_if_idle()
    {
        const bool requests_only =
            this->options.work != "watch" && this->options.work != "mixed";
        if (requests_only && this->idle_callers == this->options.callers)
        {
            this->finish();
        }
    }

    void finish()
    {
        this->finished = true;
        this->progress.cancel();
        this->finish_timer.cancel();
        this->context.stop();
    }

    void report_progress()
    {
        std::uint64_t total = 0;
        for (const auto& [name, count] : this->outcomes)
        {
            total += count;
        }
        std::uint64_t notifications = 0;
        for (const auto& session : this->sessions)
        {
            notifications += session->watch_result().notifications;
        }
        std::cerr << "progress requests=" << total
                  << " notifications=" << notifications << '\n';
        this->progress.expires_after(1s);
        this->progress.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->report_progress();
                }
            });
    }

    [[nodiscard]] std::int64_t percentile(std::size_t rank) const
    {
        if (this->latencies.empty())
        {
            return 0;
        }
        auto sorted = this->latencies;
        std::sort(sorted.begin(), sorted.end());
        return sorted[(sorted.size() - 1) * rank / 100];
    }

    asio::io_context& context;
    caller_options options;
    asio::steady_timer progress;
    asio::steady_timer finish_timer;
    std::vector<std::unique_ptr<caller_session>> sessions;
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
    std::map<std::string, std::uint64_t> outcomes;
    std::vector<std::int64_t> latencies;
    std::ofstream results;
    std::uint32_t idle_callers = 0;
    bool finished = false;
};

std::uint32_t get_number(const setting_values& values, const std::string& name)
{
    return static_cast<std::uint32_t>(std::stoul(values.get(name)));
}

} // namespace
} // namespace masticslip::standins

int main(int argc, char** argv)
{
    using namespace masticslip;
    constexpr std::uint64_t max_time = 3'600'000;
    const setting_table table(
        "caller", "0.1.0",
        {{"entries", "The service's address at each entry, comma-separated", "",
          required(endpoint_list())},
         {"bind", "Local address; port zero", "127.0.0.1:0", endpoint_value()},
         {"work", "What each caller does", "signup",
          one_of({"signup", "upload", "document", "watch", "mixed"})},
         {"prefix", "Prefix of request ids", "r", any_value()},
         {"result-log", "File for the outcomes", "", any_value()},
         {"callers", "Number of flows", "1", number_value(1, 20'000)},
         {"requests", "Requests of each caller", "1",
          number_value(0, 1'000'000)},
         {"blocks", "Blocks of an upload", "4", number_value(1, 1000)},
         {"duration-ms", "Longest time", "10000", number_value(1, max_time)},
         {"pause-ms", "Pause between requests", "0", number_value(0, max_time)},
         {"ack-timeout-ms", "First retransmission", "2000",
          number_value(10, max_time)},
         {"patience-ms", "Gap after which a watch counts as broken", "5000",
          number_value(10, max_time)},
         {"seed", "Seed of all random choices", "1",
          number_value(0, 1'000'000'000)}});
    std::vector<std::string> faults;
    const auto values = table.read(argc, argv, faults);
    if (!values)
    {
        std::cerr << "caller: " << faults.front() << '\n';
        return exit_usage;
    }
    using std::chrono::milliseconds;
    standins::caller_options options;
    for (const auto& item : split_list(values->get("entries")))
    {
        options.entries.push_back(*parse_endpoint(item));
    }
    options.bind = *parse_endpoint(values->get("bind"));
    options.work = values->get("work");
    options.prefix = values->get("prefix");
    options.result_log = values->get("result-log");
    options.callers = standins::get_number(*values, "callers");
    options.requests = standins::get_number(*values, "requests");
    options.blocks = standins::get_number(*values, "blocks");
    options.duration =
        milliseconds(standins::get_number(*values, "duration-ms"));
    options.pause = milliseconds(standins::get_number(*values, "pause-ms"));
    options.acknowledge_timeout =
        milliseconds(standins::get_number(*values, "ack-timeout-ms"));
    options.watch_timeout =
        milliseconds(standins::get_number(*values, "patience-ms"));
    options.seed = standins::get_number(*values, "seed");
    boost::asio::io_context context(1);
    standins::load_generator generator(context, options);
    std::string reason;
    if (!generator.start(reason))
    {
        std::cerr << "caller: " << reason << '\n';
        return EXIT_FAILURE;
    }
    context.run();
    generator.print_summary();
    return EXIT_SUCCESS;
}
