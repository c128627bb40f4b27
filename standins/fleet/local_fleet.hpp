#pragma once
/// Starts a whole deployment as processes on loopback, for tests, the demo
/// and experiments: store, entries, companions and upstreams.
///
///     local_fleet fleet(kigali_shape(), "build/release");
///     fleet.start();
///     auto result = fleet.run_cli({"preset", "use", "peak", "--wait"});

#include "masticslip/core/types.hpp"

#include <boost/json/object.hpp>
#include <boost/process/child.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace masticslip::standins
{

/// One service of a shape.
struct service_shape
{
    std::string name;
    std::uint16_t port = 0;
    std::size_t upstreams = 1;
};

/// What to start.
struct fleet_shape
{
    std::vector<std::string> failure_domains;
    std::vector<service_shape> services;
    std::size_t entries = 3;
    /// Extra arguments of every upstream, as "--cold-ms=500".
    std::vector<std::string> upstream_arguments;
    std::vector<std::string> companion_arguments;
    std::vector<std::string> entry_arguments;
};

/// Kigali: three failure domains, meetups on 7 upstreams, papers on 3.
fleet_shape kigali_shape();

/// Guayaquil: three failure domains, biblioteca on 7 upstreams, planos on 3.
fleet_shape guayaquil_shape();

/// Output of a finished program.
struct program_result
{
    int exit_code = -1;
    std::string out;
    std::string errors;
};

/// A program that runs in the background with its output in files.
struct background_program
{
    boost::process::child child;
    std::string out_file;
    std::string error_file;
};

/// One upstream with its companion.
struct upstream_place
{
    std::string name;
    std::string service;
    std::string failure_domain;
    endpoint companion_internal;
    endpoint companion_admin;
    endpoint upstream_bind;
    endpoint upstream_address;
    endpoint upstream_control;
};

/// Not thread-safe. Ends all its processes when destroyed.
class local_fleet
{
public:
    /// `programs` is the folder with the built programs.
    local_fleet(fleet_shape shape, std::string programs);
    ~local_fleet();

    local_fleet(const local_fleet&) = delete;
    local_fleet& operator=(const local_fleet&) = delete;

    /// Starts all processes, applies the configuration and waits until it is
    /// in force and all upstreams are announced. False if that takes too long.
    bool start();

    void start_store();
    void start_entry(std::size_t index);
    void start_companion(std::size_t index);
    /// Starts the upstream of a place; `service` replaces the place's own.
    void start_upstream(std::size_t index, const std::string& service = "");

    /// Sends a signal to a process by name ("entry-0", "companion-3",
    /// "upstream-3", "store").
    void signal(const std::string& name, int number);

    /// Sends a signal and waits until the process has ended.
    void end(const std::string& name, int number);

    /// True if the process ended with code zero within the time.
    bool ended_well(const std::string& name, std::chrono::milliseconds limit);

    program_result run_cli(std::vector<std::string> arguments);

    /// Starts the command line in the background.
    std::unique_ptr<background_program>
    start_cli(std::vector<std::string> arguments);

    /// Starts the caller stand-in for a service.
    std::unique_ptr<background_program> start_caller(
        const std::string& service, std::vector<std::string> arguments);

    /// Waits for the caller's end and returns its summary.
    boost::json::object finish(background_program& program);

    /// Sends an action to an upstream's control address.
    void control_upstream(std::size_t index, const std::string& action);

    boost::json::object upstream_stats(std::size_t index);
    boost::json::object companion_status(std::size_t index);
    boost::json::object entry_status(std::size_t index);

    void set_store_fault(const std::string& mode, int delay_ms = 0);
    boost::json::object store_counts();

    /// Waits until a condition holds; false if it does not in time.
    static bool wait_until(
        const std::function<bool()>& condition,
        std::chrono::milliseconds limit);

    [[nodiscard]] const std::vector<upstream_place>& upstreams() const
    {
        return this->places;
    }

    /// Execution log that all upstreams share.
    [[nodiscard]] std::string execution_log() const
    {
        return this->folder + "/executions.log";
    }

    /// Folder for output files of this fleet.
    [[nodiscard]] const std::string& work_folder() const
    {
        return this->folder;
    }

    /// The configuration document of the shape.
    [[nodiscard]] std::string document() const;

private:
    endpoint
    address(std::uint8_t group, std::size_t index, std::uint16_t port) const;
    void spawn(
        const std::string& name,
        const std::string& program,
        const std::vector<std::string>& arguments);
    std::unique_ptr<background_program> start_program(
        const std::string& program,
        const std::string& kind,
        const std::vector<std::string>& arguments);
    boost::json::object get_json(const endpoint& server, const char* target);
    bool is_ready();

    fleet_shape shape;
    std::string programs;
    std::string folder;
    std::uint8_t network = 0;
    std::vector<upstream_place> places;
    std::map<std::string, std::unique_ptr<boost::process::child>> processes;
    std::uint32_t program_count = 0;
};

} // namespace masticslip::standins
