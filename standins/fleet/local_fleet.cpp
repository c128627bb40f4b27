#include "local_fleet.hpp"

#include "net/http.hpp"

#include <boost/json.hpp>
#include <boost/process.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include <unistd.h>

namespace masticslip::standins
{

namespace json = boost::json;
namespace bp = boost::process;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace
{

// Third octet of the loopback addresses.
constexpr std::uint8_t entry_subnet = 1;
constexpr std::uint8_t upstream_subnet = 2;
constexpr std::uint16_t store_port = 2379;
constexpr std::uint16_t internal_port = 7000;
constexpr std::uint16_t admin_port = 7001;
constexpr std::uint16_t upstream_bind_port = 7002;
constexpr std::uint16_t upstream_port = 7003;
constexpr std::uint16_t control_port = 7004;
constexpr std::chrono::milliseconds start_timeout = 20s;
constexpr std::chrono::milliseconds poll_interval = 20ms;
constexpr std::size_t seed_count = 2;
constexpr const char* shared_key_text = "00112233445566778899aabbccddeeff";

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string join(const std::vector<std::string>& items)
{
    std::string result;
    for (const auto& item : items)
    {
        result += (result.empty() ? "" : ",") + item;
    }
    return result;
}

} // namespace

fleet_shape kigali_shape()
{
    fleet_shape shape;
    shape.failure_domains = {"kgl-nyr", "kgl-gas", "kgl-kic"};
    shape.services = {{"meetups", 5683, 7}, {"papers", 5684, 3}};
    return shape;
}

fleet_shape guayaquil_shape()
{
    fleet_shape shape;
    shape.failure_domains = {"gye-pascuales", "gye-daule", "gye-duran"};
    shape.services = {{"biblioteca", 5683, 7}, {"planos", 5684, 3}};
    return shape;
}

local_fleet::local_fleet(fleet_shape shape, std::string program_folder)
    : shape(std::move(shape)), program_folder(std::move(program_folder))
{
    constexpr int first_network = 10;
    constexpr int network_count = 240;
    this->network =
        static_cast<std::uint8_t>(first_network + ::getpid() % network_count);
    const std::string name = "masticslip-" + std::to_string(::getpid());
    this->folder = (std::filesystem::temp_directory_path() / name).string();
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directories(this->folder);
    for (const auto& service : this->shape.services)
    {
        for (std::size_t i = 0; i < service.upstreams; ++i)
        {
            const std::size_t index = this->upstream_specs.size();
            const auto& domains = this->shape.failure_domains;
            this->upstream_specs.push_back(
                {service.name + "-" + std::to_string(i), service.name,
                 domains[i % domains.size()],
                 this->address(upstream_subnet, index, internal_port),
                 this->address(upstream_subnet, index, admin_port),
                 this->address(upstream_subnet, index, upstream_bind_port),
                 this->address(upstream_subnet, index, upstream_port),
                 this->address(upstream_subnet, index, control_port)});
        }
    }
}

local_fleet::~local_fleet()
{
    for (auto& [name, child] : this->processes)
    {
        if (child->running())
        {
            ::kill(child->id(), SIGCONT);
            ::kill(child->id(), SIGKILL);
        }
        std::error_code ignored;
        child->wait(ignored);
    }
    if (std::getenv("MASTICSLIP_KEEP_LOGS") == nullptr)
    {
        std::filesystem::remove_all(this->folder);
    }
}

bool local_fleet::start()
{
    this->start_store();
    for (std::size_t i = 0; i < this->shape.entries; ++i)
    {
        this->start_entry(i);
    }
    for (std::size_t i = 0; i < this->upstream_specs.size(); ++i)
    {
        this->start_companion(i);
        this->start_upstream(i);
    }
    const std::string file = this->folder + "/configuration.json";
    std::ofstream(file) << this->document();
    const bool applied = wait_until(
        [&]
        {
            return this->run_cli({"config", "apply", file, "--reason", "start"})
                       .exit_code == 0;
        },
        start_timeout);
    return applied &&
           wait_until([this] { return this->is_ready(); }, start_timeout);
}

void local_fleet::start_store()
{
    const endpoint address = this->address(0, 0, store_port);
    this->spawn("store", "standin_store", {"--bind", to_string(address)});
}

void local_fleet::start_entry(std::size_t index)
{
    const auto& domains = this->shape.failure_domains;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < seed_count; ++i)
    {
        seeds.push_back(
            to_string(this->address(entry_subnet, i, internal_port)));
    }
    std::vector<std::string> arguments{
        "--role",
        "entry",
        "--name",
        "entry-" + std::to_string(index),
        "--failure-domain",
        domains[index % domains.size()],
        "--internal-bind",
        to_string(this->address(entry_subnet, index, internal_port)),
        "--admin-bind",
        to_string(this->address(entry_subnet, index, admin_port)),
        "--service-bind",
        to_string(this->address(entry_subnet, index, 1)),
        "--seeds",
        join(seeds),
        "--store",
        to_string(this->address(0, 0, store_port)),
        "--key",
        shared_key_text};
    arguments.insert(
        arguments.end(), this->shape.entry_arguments.begin(),
        this->shape.entry_arguments.end());
    this->spawn("entry-" + std::to_string(index), "masticslipd", arguments);
}

void local_fleet::start_companion(std::size_t index)
{
    const upstream_spec& spec = this->upstream_specs[index];
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < seed_count; ++i)
    {
        seeds.push_back(
            to_string(this->address(entry_subnet, i, internal_port)));
    }
    std::vector<std::string> arguments{
        "--role",
        "companion",
        "--name",
        spec.name,
        "--service",
        spec.service,
        "--failure-domain",
        spec.failure_domain,
        "--internal-bind",
        to_string(spec.companion_internal),
        "--admin-bind",
        to_string(spec.companion_admin),
        "--upstream-bind",
        to_string(spec.upstream_bind),
        "--upstream-address",
        to_string(spec.upstream_address),
        "--seeds",
        join(seeds),
        "--key",
        shared_key_text};
    arguments.insert(
        arguments.end(), this->shape.companion_arguments.begin(),
        this->shape.companion_arguments.end());
    this->spawn("companion-" + std::to_string(index), "masticslipd", arguments);
}

void local_fleet::start_upstream(std::size_t index, const std::string& service)
{
    const upstream_spec& spec = this->upstream_specs[index];
    std::vector<std::string> arguments{
        "--bind",          to_string(spec.upstream_address),
        "--control",       to_string(spec.upstream_control),
        "--companion",     to_string(spec.upstream_bind),
        "--service",       service.empty() ? spec.service : service,
        "--execution-log", this->execution_log()};
    arguments.insert(
        arguments.end(), this->shape.upstream_arguments.begin(),
        this->shape.upstream_arguments.end());
    this->spawn(
        "upstream-" + std::to_string(index), "standin_upstream", arguments);
}

void local_fleet::signal(const std::string& name, int number)
{
    ::kill(this->processes.at(name)->id(), number);
}

void local_fleet::signal_and_wait(const std::string& name, int number)
{
    auto& child = *this->processes.at(name);
    ::kill(child.id(), number);
    std::error_code ignored;
    child.wait(ignored);
}

bool local_fleet::exited_successfully(
    const std::string& name, std::chrono::milliseconds timeout)
{
    auto& child = *this->processes.at(name);
    std::error_code ignored;
    const bool exited =
        wait_until([&] { return !child.running(ignored); }, timeout);
    return exited && child.exit_code() == 0;
}

program_result local_fleet::run_cli(std::vector<std::string> arguments)
{
    const auto program = this->start_cli(std::move(arguments));
    program->child.wait();
    return {
        program->child.exit_code(), read_file(program->out_file),
        read_file(program->error_file)};
}

std::unique_ptr<background_program>
local_fleet::start_cli(std::vector<std::string> arguments)
{
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < this->shape.entries; ++i)
    {
        entries.push_back(
            to_string(this->address(entry_subnet, i, admin_port)));
    }
    arguments.insert(
        arguments.end(), {"--store", to_string(this->address(0, 0, store_port)),
                          "--entries", join(entries)});
    return this->start_program("masticslip", "cli", arguments);
}

std::unique_ptr<background_program> local_fleet::start_caller(
    const std::string& service, std::vector<std::string> arguments)
{
    std::uint16_t port = 0;
    for (const auto& item : this->shape.services)
    {
        port = item.name == service ? item.port : port;
    }
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < this->shape.entries; ++i)
    {
        entries.push_back(to_string(this->address(entry_subnet, i, port)));
    }
    arguments.insert(arguments.end(), {"--entries", join(entries)});
    return this->start_program("standin_caller", "caller", arguments);
}

std::unique_ptr<background_program> local_fleet::start_program(
    const std::string& program,
    const std::string& file_prefix,
    const std::vector<std::string>& arguments)
{
    auto result = std::make_unique<background_program>();
    const std::string base = this->folder + "/" + file_prefix + "-" +
                             std::to_string(this->program_count++);
    result->out_file = base + ".out";
    result->error_file = base + ".err";
    result->child = bp::child(
        this->program_folder + "/" + program, bp::args(arguments),
        bp::std_out > result->out_file, bp::std_err > result->error_file);
    return result;
}

json::object local_fleet::wait_for_summary(background_program& program)
{
    program.child.wait();
    json::error_code error;
    const json::value value = json::parse(read_file(program.out_file), error);
    return error || !value.is_object() ? json::object{} : value.get_object();
}

void local_fleet::control_upstream(std::size_t index, const std::string& action)
{
    http_call call;
    call.server = this->upstream_specs[index].upstream_control;
    call.method = http::verb::post;
    call.target = "/control";
    call.body = json::serialize(json::object{{"action", action}});
    std::string reason;
    send_http_blocking(call, reason);
}

json::object local_fleet::upstream_stats(std::size_t index)
{
    return this->get_json(
        this->upstream_specs[index].upstream_control, "/stats");
}

json::object local_fleet::companion_status(std::size_t index)
{
    return this->get_json(
        this->upstream_specs[index].companion_admin, "/status");
}

json::object local_fleet::entry_status(std::size_t index)
{
    return this->get_json(
        this->address(entry_subnet, index, admin_port), "/status");
}

void local_fleet::set_store_fault(const std::string& mode, int delay_ms)
{
    this->post_to_store(
        "/standin/fault",
        json::serialize(json::object{{"mode", mode}, {"delay_ms", delay_ms}}));
}

void local_fleet::post_to_store(const char* target, const std::string& body)
{
    http_call call;
    call.server = this->address(0, 0, store_port);
    call.method = http::verb::post;
    call.target = target;
    call.body = body;
    std::string reason;
    send_http_blocking(call, reason);
}

json::object local_fleet::store_counts()
{
    return this->get_json(this->address(0, 0, store_port), "/standin/counts");
}

bool local_fleet::wait_until(
    const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return condition();
}

std::string local_fleet::document() const
{
    json::array services;
    for (const auto& service : this->shape.services)
    {
        const endpoint address = this->address(9, 0, service.port);
        services.push_back(json::object{
            {"name", service.name}, {"address", to_string(address)}});
    }
    json::array domains;
    for (const auto& domain : this->shape.failure_domains)
    {
        domains.emplace_back(domain);
    }
    const json::array presets{
        json::object{{"name", "ordinary"}, {"choice_width", 3}},
        json::object{
            {"name", "peak"},
            {"choice_width", 3},
            {"limits", {{"max_in_flight", 8}}}},
        json::object{
            {"name", "maintenance"},
            {"choice_width", 2},
            {"limits", {{"max_in_flight", 3}}}}};
    return json::serialize(json::object{
        {"schema", 1},
        {"services", services},
        {"failure_domains", domains},
        {"presets", presets},
        {"preset_in_force", "ordinary"}});
}

endpoint local_fleet::address(
    std::uint8_t subnet, std::size_t index, std::uint16_t port) const
{
    constexpr std::uint32_t loopback = 127;
    const auto host = static_cast<std::uint32_t>(index + 1);
    return {
        (loopback << 24U) | (std::uint32_t{this->network} << 16U) |
            (std::uint32_t{subnet} << 8U) | host,
        port};
}

void local_fleet::spawn(
    const std::string& name,
    const std::string& program,
    const std::vector<std::string>& arguments)
{
    const std::string log = this->folder + "/" + name + ".log";
    this->processes[name] = std::make_unique<bp::child>(
        this->program_folder + "/" + program, bp::args(arguments),
        bp::std_out > bp::null, bp::std_err > log);
}

json::object local_fleet::get_json(const endpoint& server, const char* target)
{
    http_call call;
    call.server = server;
    call.target = target;
    std::string reason;
    const auto response = send_http_blocking(call, reason);
    json::error_code error;
    const json::value value =
        json::parse(response ? response->body() : "", error);
    return error || !value.is_object() ? json::object{} : value.get_object();
}

bool local_fleet::is_ready()
{
    for (std::size_t i = 0; i < this->shape.entries; ++i)
    {
        const json::object status = this->entry_status(i);
        const auto* members = status.if_contains("members");
        if (members == nullptr || !members->is_array())
        {
            return false;
        }
        std::size_t serving = 0;
        for (const auto& item : members->get_array())
        {
            serving += item.at("state").as_string() == "serving" ? 1 : 0;
        }
        if (serving != this->shape.entries + this->upstream_specs.size())
        {
            return false;
        }
    }
    for (std::size_t i = 0; i < this->upstream_specs.size(); ++i)
    {
        const json::object status = this->companion_status(i);
        const auto* config = status.if_contains("configuration");
        const bool in_force =
            config != nullptr &&
            config->at("generation").to_number<generation>() > 0;
        if (!in_force)
        {
            return false;
        }
    }
    return true;
}

} // namespace masticslip::standins
