#include "scenario.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>

namespace masticslip::standin
{

namespace json = boost::json;

namespace
{

using step_action =
    std::function<void(virtual_flow_fleet&, const scenario_step&)>;

const std::map<std::string, step_action>& step_kinds()
{
    static const std::map<std::string, step_action> kinds{
        {"kill_entry",
         [](auto& fleet, const auto& step)
         {
             fleet.kill_entry(step.index, step.fault_duration);
         }},
        {"stop_entry",
         [](auto& fleet, const auto& step)
         {
             fleet.stop_entry(step.index);
         }},
        {"add_entry",
         [](auto& fleet, const auto&)
         {
             fleet.add_entry();
         }},
        {"freeze_entry",
         [](auto& fleet, const auto& step)
         {
             fleet.freeze_entry(step.index, step.fault_duration);
         }},
        {"cut_entry",
         [](auto& fleet, const auto& step)
         {
             fleet.cut_entry(step.index, step.fault_duration);
         }},
        {"kill_companion",
         [](auto& fleet, const auto& step)
         {
             fleet.kill_companion(step.index, step.fault_duration);
         }},
        {"stop_companion",
         [](auto& fleet, const auto& step)
         {
             fleet.stop_companion(step.index);
         }},
        {"freeze_companion",
         [](auto& fleet, const auto& step)
         {
             fleet.freeze_companion(step.index, step.fault_duration);
         }},
        {"cut_companion",
         [](auto& fleet, const auto& step)
         {
             fleet.cut_companion(step.index, step.fault_duration);
         }},
        {"crash_host",
         [](auto& fleet, const auto& step)
         {
             fleet.crash_host(step.index, step.fault_duration);
         }},
        {"crash_host_bouncing",
         [](auto& fleet, const auto& step)
         {
             fleet.crash_host(step.index, step.fault_duration, true);
         }},
        {"drain_host",
         [](auto& fleet, const auto& step)
         {
             fleet.drain_host(step.index, step.fault_duration);
         }},
        {"lose_power",
         [](auto& fleet, const auto& step)
         {
             fleet.lose_power(step.fault_duration);
         }},
        {"cut_domains",
         [](auto& fleet, const auto& step)
         {
             fleet.cut_domains(
                 static_cast<std::uint32_t>(step.index),
                 static_cast<std::uint32_t>(step.other));
             fleet.at(step.fault_duration, [&fleet] { fleet.heal_domains(); });
         }},
        {"stop_store",
         [](auto& fleet, const auto& step)
         {
             fleet.stop_store(step.fault_duration);
         }},
        {"turn_away_entry",
         [](auto& fleet, const auto& step)
         {
             fleet.turn_away_entry(step.index, step.fault_duration);
         }},
        {"restore_store_copy",
         [](auto& fleet, const auto& step)
         {
             fleet.restore_store_copy(
                 std::chrono::seconds(step.index), step.fault_duration);
         }},
        {"withdraw", [](auto& fleet, const auto& step)
         {
             const auto domain = static_cast<std::uint32_t>(step.index);
             fleet.withdraw(domain);
             if (step.fault_duration.count() > 0)
             {
                 fleet.at(
                     step.fault_duration,
                     [&fleet, domain] { fleet.restore(domain); });
             }
         }}};
    return kinds;
}

/// Reads members of a JSON object; reports only the first error.
class member_reader
{
public:
    member_reader(
        const json::value& value, std::string path, failure_reason& reason)
        : object(value.if_object()), path(std::move(path)), reason(reason)
    {
        if (this->object == nullptr)
        {
            this->fail("", "must be an object");
        }
    }

    double number(const char* key, double fallback, double low, double high)
    {
        const json::value* found = this->find(key);
        if (found == nullptr)
        {
            return fallback;
        }
        json::error_code error;
        const double value =
            found->is_number() ? found->to_number<double>(error) : low - 1;
        if (error || !(value >= low && value <= high))
        {
            this->fail(
                key, "must be a number from " + std::to_string(low) + " to " +
                         std::to_string(high));
            return fallback;
        }
        return value;
    }

    const json::value* find(const char* key)
    {
        this->known.insert(key);
        return this->object == nullptr ? nullptr
                                       : this->object->if_contains(key);
    }

    void reject_unknown_keys()
    {
        if (this->object == nullptr)
        {
            return;
        }
        for (const auto& item : *this->object)
        {
            if (!this->known.contains(std::string(item.key())))
            {
                this->fail(std::string(item.key()), "unknown key");
            }
        }
    }

    void fail(const std::string& key, const std::string& problem)
    {
        if (this->reason.code == result_code::done)
        {
            this->reason = {
                result_code::config_invalid,
                this->path + (key.empty() ? "" : "." + key) + ": " + problem};
        }
    }

private:
    const json::object* object;
    std::string path;
    failure_reason& reason;
    std::set<std::string> known;
};

constexpr double max_count = 1'000;
/// Largest age of a copy from which the store is restored, in seconds.
constexpr std::size_t max_copy_age_s = 15;
constexpr double max_time_ms = 600'000;

void read_shape(
    const json::value& value, scenario& item, failure_reason& reason)
{
    member_reader reader(value, "$.shape", reason);
    fleet_shape& shape = item.shape;
    shape.domains = static_cast<std::uint32_t>(
        reader.number("domains", shape.domains, 1, max_count));
    shape.entries = static_cast<std::uint32_t>(
        reader.number("entries", shape.entries, 1, max_count));
    shape.host.slots = static_cast<std::uint32_t>(
        reader.number("slots", shape.host.slots, 1, max_count));
    shape.cold_flows_per_second = reader.number(
        "cold_flows_per_second", shape.cold_flows_per_second, 0, max_count);
    for (auto& service : shape.services)
    {
        service.hosts = static_cast<std::uint32_t>(
            reader.number(service.name.c_str(), service.hosts, 1, max_count));
    }
    reader.reject_unknown_keys();
}

void read_placement(
    const json::value& value, scenario& item, member_reader& reader)
{
    const json::string* name = value.if_string();
    if (name == nullptr || find_placement_rule(*name) == nullptr)
    {
        std::string names;
        for (const auto& known : placement_rule_names())
        {
            names += (names.empty() ? "" : ", ") + known;
        }
        reader.fail("placement", "must be one of " + names);
        return;
    }
    item.shape.placement = std::string(*name);
}

void read_step(
    const json::value& value,
    std::size_t number,
    scenario& item,
    failure_reason& reason)
{
    member_reader reader(
        value, "$.faults[" + std::to_string(number) + "]", reason);
    scenario_step step;
    const json::value* kind = reader.find("kind");
    if (kind == nullptr || !kind->is_string() ||
        !step_kinds().contains(std::string(kind->as_string())))
    {
        std::string names;
        for (const auto& known : step_kinds())
        {
            names += (names.empty() ? "" : ", ") + known.first;
        }
        reader.fail("kind", "must be one of " + names);
    }
    else
    {
        step.kind = std::string(kind->as_string());
    }
    step.at = std::chrono::milliseconds(
        static_cast<int>(reader.number("at_ms", 0, 0, max_time_ms)));
    step.fault_duration = std::chrono::milliseconds(
        static_cast<int>(reader.number("for_ms", 0, 0, max_time_ms)));
    step.index =
        static_cast<std::size_t>(reader.number("index", 0, 0, max_count));
    step.other =
        static_cast<std::size_t>(reader.number("other", 0, 0, max_count));
    reader.reject_unknown_keys();
    item.steps.push_back(step);
}

/// Number of entries, hosts or failure domains that a step of this kind can
/// refer to; its index must be lower.
std::size_t index_limit(const scenario& item, const std::string& kind)
{
    if (kind == "withdraw" || kind == "cut_domains")
    {
        return item.shape.domains;
    }
    if (kind == "restore_store_copy")
    {
        return max_copy_age_s + 1;
    }
    if (kind.find("entry") != std::string::npos)
    {
        return item.shape.entries;
    }
    std::size_t hosts = 0;
    for (const auto& service : item.shape.services)
    {
        hosts += service.hosts;
    }
    return hosts;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * share)];
}

} // namespace

std::optional<scenario>
parse_scenario(std::string_view text, failure_reason& reason)
{
    reason = {};
    json::error_code error;
    const json::value root = json::parse(text, error);
    if (error)
    {
        reason = {
            result_code::config_invalid, "$: not JSON: " + error.message()};
        return std::nullopt;
    }
    scenario item;
    item.shape = small_fleet();
    member_reader reader(root, "$", reason);
    item.load = reader.number("load", item.load, 0.01, 10);
    item.shape.loss = reader.number("loss", 0, 0, 0.5);
    item.shape.wait_share =
        reader.number("wait_share", item.shape.wait_share, 0, 1);
    if (const json::value* rule = reader.find("placement"))
    {
        read_placement(*rule, item, reader);
    }
    item.length = std::chrono::seconds(
        static_cast<int>(reader.number("seconds", 25, 1, 600)));
    if (const json::value* shape = reader.find("shape"))
    {
        read_shape(*shape, item, reason);
    }
    if (const json::value* seeds = reader.find("seeds");
        seeds != nullptr && seeds->is_array())
    {
        item.seeds.clear();
        for (const json::value& seed : seeds->get_array())
        {
            json::error_code bad;
            item.seeds.push_back(seed.to_number<std::uint64_t>(bad));
            if (bad)
            {
                reader.fail("seeds", "must be whole numbers");
            }
        }
    }
    if (const json::value* faults = reader.find("faults");
        faults != nullptr && faults->is_array())
    {
        std::size_t number = 0;
        for (const json::value& fault : faults->get_array())
        {
            read_step(fault, number++, item, reason);
        }
    }
    reader.reject_unknown_keys();
    for (const auto& step : item.steps)
    {
        const std::size_t limit = index_limit(item, step.kind);
        if (std::max(step.index, step.other) >= limit)
        {
            reader.fail(
                "faults", step.kind + " names number " +
                              std::to_string(std::max(step.index, step.other)) +
                              " of " + std::to_string(limit));
        }
    }
    return reason.code == result_code::done ? std::optional(item)
                                            : std::nullopt;
}

scenario_result play_scenario(const scenario& item, std::uint64_t seed)
{
    virtual_flow_fleet fleet(item.shape, seed);
    auto classes = small_load(item.load);
    const double hosts = item.shape.services.front().hosts;
    const double slots = item.shape.host.slots;
    const fleet_shape reference = small_fleet();
    const double scale =
        hosts * slots /
        (reference.services.front().hosts * reference.host.slots);
    for (auto& load_class : classes)
    {
        load_class.per_second *= scale;
    }
    fleet.start_load(classes, item.length);
    for (const auto& step : item.steps)
    {
        fleet.at(
            step.at,
            [&fleet, step] { step_kinds().at(step.kind)(fleet, step); });
    }
    // Time after the load in which the last requests complete.
    constexpr std::chrono::seconds completion_time{5};
    fleet.run(item.length + completion_time);
    scenario_result result;
    result.seed = seed;
    result.classes = fleet.callers().results();
    result.violations = fleet.violations();
    result.imbalance = fleet.imbalance(item.shape.services.front().name);
    const double instances =
        static_cast<double>(item.shape.entries + fleet.host_count());
    const auto seconds =
        static_cast<double>((item.length + completion_time).count());
    result.control_rate =
        static_cast<double>(fleet.control_messages()) / instances / seconds;
    return result;
}

double credit_of(const class_result& result)
{
    // Value of a late answer relative to one in time, as stated by users.
    constexpr double late_weight = 0.3;
    if (result.asked == 0)
    {
        return 1;
    }
    return (static_cast<double>(result.in_time) +
            late_weight * static_cast<double>(result.late)) /
           static_cast<double>(result.asked);
}

std::string format_result(const scenario_result& result)
{
    constexpr std::size_t line_size = 160;
    std::array<char, line_size> line{};
    std::string text = "seed " + std::to_string(result.seed) + "\n";
    std::snprintf(
        line.data(), line.size(), "  %-10s %8s %8s %8s %8s %7s %9s %9s\n",
        "class", "asked", "in time", "late", "failed", "credit", "p50 ms",
        "p99 ms");
    text += line.data();
    for (const auto& [name, item] : result.classes)
    {
        std::snprintf(
            line.data(), line.size(),
            "  %-10s %8llu %8llu %8llu %8llu %7.3f %9.1f %9.1f\n", name.c_str(),
            static_cast<unsigned long long>(item.asked),
            static_cast<unsigned long long>(item.in_time),
            static_cast<unsigned long long>(item.late),
            static_cast<unsigned long long>(item.failed), credit_of(item),
            percentile(item.latencies_ms, 0.5),
            percentile(item.latencies_ms, 0.99));
        text += line.data();
    }
    std::snprintf(
        line.data(), line.size(),
        "  busiest host over mean %.2f, control messages a node and second "
        "%.1f, broken promises %zu\n",
        result.imbalance, result.control_rate, result.violations.size());
    text += line.data();
    for (const auto& item : result.violations)
    {
        text += "  broken: " + item + "\n";
    }
    return text;
}

} // namespace masticslip::standin
