#pragma once
/// Runs a deployment (store, entries, companions and upstreams) as local
/// processes on loopback addresses, for tests and the demo.
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

/// One service of a fleet.
struct service_shape
{
    std::string name;
    std::uint16_t port = 0;
    std::size_t upstreams = 1;
};

/// Topology of the fleet and extra arguments of its processes.
struct fleet_shape
{
    std::vector<std::string> failure_domains;
    std::vector<service_shape> services;
    std::size_t entries = 3;
    /// Extra arguments of every upstream, such as "--cold-ms=500".
    std::vector<std::string> upstream_arguments;
    std::vector<std::string> companion_arguments;
    std::vector<std::string> entry_arguments;
};

/// Topology of the Kigali deployment: three failure domains; meetups on 7
/// upstreams, papers on 3.
fleet_shape kigali_shape();

/// Topology of the Guayaquil deployment: three failure domains; biblioteca on
/// 7 upstreams, planos on 3.
fleet_shape guayaquil_shape();

/// Exit code and output of a program that has exited.
struct program_result
{
    int exit_code = -1;
    std::string out;
    std::string errors;
};

/// A program running in the background, with its output redirected to files.
struct background_program
{
    boost::process::child child;
    std::string out_file;
    std::string error_file;
};

/// Names and addresses of one upstream and its companion.
struct upstream_spec
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

/// Not thread-safe. The destructor kills all processes of the fleet;
/// background programs belong to the caller.
class local_fleet
{
public:
    /// `program_folder` is the folder that contains the built programs.
    local_fleet(fleet_shape shape, std::string program_folder);
    ~local_fleet();

    local_fleet(const local_fleet&) = delete;
    local_fleet& operator=(const local_fleet&) = delete;

    /// Starts all processes, applies the configuration and waits until it is
    /// in force on every companion, all upstreams are announced and every
    /// entry lists all members as serving. Returns false on timeout.
    bool start();

    void start_store();
    void start_entry(std::size_t index);
    void start_companion(std::size_t index);
    /// Starts an upstream. `service`, if not empty, overrides the service that
    /// it announces.
    void start_upstream(std::size_t index, const std::string& service = "");

    /// Sends a signal to the named process ("entry-0", "companion-3",
    /// "upstream-3", "store").
    void signal(const std::string& name, int number);

    /// Sends a signal and waits until the process has exited.
    void signal_and_wait(const std::string& name, int number);

    /// Returns true if the process exits with code 0 within `timeout`.
    bool exited_successfully(
        const std::string& name, std::chrono::milliseconds timeout);

    /// Runs the command-line program and waits until it has exited.
    program_result run_cli(std::vector<std::string> arguments);

    /// Starts the command-line program in the background.
    std::unique_ptr<background_program>
    start_cli(std::vector<std::string> arguments);

    /// Starts the stand-in caller for a service in the background.
    std::unique_ptr<background_program> start_caller(
        const std::string& service, std::vector<std::string> arguments);

    /// Waits until the caller has exited and returns its summary, or an empty
    /// object if its output is not a JSON object.
    boost::json::object wait_for_summary(background_program& program);

    /// Posts an action to the control address of an upstream. Errors are
    /// ignored.
    void control_upstream(std::size_t index, const std::string& action);

    /// The status functions return an empty object if the process does not
    /// answer with a JSON object.
    boost::json::object upstream_stats(std::size_t index);
    boost::json::object companion_status(std::size_t index);
    boost::json::object entry_status(std::size_t index);

    /// Sends one call to the store. Errors are ignored.
    void post_to_store(const char* target, const std::string& body);
    void set_store_fault(const std::string& mode, int delay_ms = 0);
    /// Keeps a copy of all that the store holds, in place of an earlier one.
    void copy_store()
    {
        this->post_to_store("/standin/copy", "{}");
    }
    /// Puts the store back to the copy; what was written since is lost.
    /// Precondition: copy_store() was called.
    void restore_store()
    {
        this->post_to_store("/standin/restore", "{}");
    }
    boost::json::object store_counts();

    /// Polls `condition` until it holds. Returns false on timeout.
    static bool wait_until(
        const std::function<bool()>& condition,
        std::chrono::milliseconds timeout);

    [[nodiscard]] const std::vector<upstream_spec>& upstreams() const
    {
        return this->upstream_specs;
    }

    /// Path of the execution log shared by all upstreams.
    [[nodiscard]] std::string execution_log() const
    {
        return this->folder + "/executions.log";
    }

    /// Folder for logs and output files. The destructor removes it unless
    /// MASTICSLIP_KEEP_LOGS is set.
    [[nodiscard]] const std::string& work_folder() const
    {
        return this->folder;
    }

    /// The configuration document that start() applies.
    [[nodiscard]] std::string document() const;

private:
    endpoint
    address(std::uint8_t subnet, std::size_t index, std::uint16_t port) const;
    void spawn(
        const std::string& name,
        const std::string& program,
        const std::vector<std::string>& arguments);
    std::unique_ptr<background_program> start_program(
        const std::string& program,
        const std::string& file_prefix,
        const std::vector<std::string>& arguments);
    boost::json::object get_json(const endpoint& server, const char* target);
    bool is_ready();

    fleet_shape shape;
    std::string program_folder;
    std::string folder;
    std::uint8_t network = 0;
    std::vector<upstream_spec> upstream_specs;
    std::map<std::string, std::unique_ptr<boost::process::child>> processes;
    std::uint32_t program_count = 0;
};

} // namespace masticslip::standins
