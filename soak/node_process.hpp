#pragma once
/// A masticslip_node process with its settings file and log.

#include "masticslip/core/types.hpp"

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace masticslip::soak
{

/// Kills its process on destruction. Not thread-safe.
class node_process
{
public:
    /// `settings` is the text of the settings file, which is written to
    /// `folder`; the log goes there too.
    node_process(
        std::string program,
        std::string role,
        std::string name,
        std::string folder,
        const std::string& settings);
    ~node_process();

    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    /// Adds an environment variable for later starts.
    void set_variable(const std::string& name, const std::string& value)
    {
        this->variables[name] = value;
    }

    void start();

    /// Sends a signal if the process is running.
    void signal(int number);

    [[nodiscard]] bool is_running();

    [[nodiscard]] const std::string& label() const
    {
        return this->name;
    }

    [[nodiscard]] std::string log_file() const
    {
        return this->folder + "/" + this->name + ".log";
    }

private:
    std::string program;
    std::string role;
    std::string name;
    std::string folder;
    std::map<std::string, std::string> variables;
    /// Zero: not running.
    pid_t id = 0;
};

} // namespace masticslip::soak
