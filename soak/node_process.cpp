#include "node_process.hpp"

#include "platform/platform_texts.hpp"

#include <boost/process.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>

namespace masticslip::soak
{

namespace bp = boost::process;

node_process::node_process(
    std::string program,
    std::string role,
    std::string name,
    std::string folder,
    const std::string& settings)
    : program(std::move(program)), role(std::move(role)), name(std::move(name)),
      folder(std::move(folder))
{
    std::ofstream(this->folder + "/" + this->name + ".conf") << settings;
}

node_process::~node_process()
{
    if (this->is_running())
    {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        std::error_code ignored;
        this->child->wait(ignored);
    }
}

void node_process::start()
{
    bp::environment environment = boost::this_process::environment();
    environment[standin::settings_variable] =
        this->folder + "/" + this->name + ".conf";
    for (const auto& [name, value] : this->variables)
    {
        environment[name] = value;
    }
    // Appends, so that the log spans restarts.
    std::FILE* log = std::fopen(this->log_file().c_str(), "a");
    this->child = std::make_unique<bp::child>(
        this->program, this->role, environment, bp::std_out > log,
        bp::std_err > log, bp::std_in < bp::null);
    std::fclose(log);
}

void node_process::signal(int number)
{
    if (this->is_running())
    {
        ::kill(this->child->id(), number);
    }
}

bool node_process::is_running()
{
    std::error_code error;
    return this->child && this->child->running(error) && !error;
}

} // namespace masticslip::soak
