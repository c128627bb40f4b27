#include "node_process.hpp"

#include "platform/platform_texts.hpp"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace masticslip::soak
{

namespace
{

std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> result;
    result.reserve(texts.size() + 1);
    for (std::string& text : texts)
    {
        result.push_back(text.data());
    }
    result.push_back(nullptr);
    return result;
}

/// Files of a new process: no input, output appended to a log.
class log_redirection
{
public:
    explicit log_redirection(const std::string& log)
    {
        constexpr int log_mode = 0644;
        ::posix_spawn_file_actions_init(&this->actions);
        ::posix_spawn_file_actions_addopen(
            &this->actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        ::posix_spawn_file_actions_addopen(
            &this->actions, STDOUT_FILENO, log.c_str(),
            O_WRONLY | O_CREAT | O_APPEND, log_mode);
        ::posix_spawn_file_actions_adddup2(
            &this->actions, STDOUT_FILENO, STDERR_FILENO);
        // A connection that the soak closes must not stay open in a process.
        ::posix_spawn_file_actions_addclosefrom_np(
            &this->actions, STDERR_FILENO + 1);
    }

    ~log_redirection()
    {
        ::posix_spawn_file_actions_destroy(&this->actions);
    }

    log_redirection(const log_redirection&) = delete;
    log_redirection& operator=(const log_redirection&) = delete;

    [[nodiscard]] const posix_spawn_file_actions_t* get() const
    {
        return &this->actions;
    }

private:
    posix_spawn_file_actions_t actions{};
};

} // namespace

node_process::node_process(
    std::string program,
    std::string role,
    std::string name,
    std::string folder,
    const std::string& settings)
    : program(std::move(program)), role(std::move(role)), name(std::move(name)),
      folder(std::move(folder))
{
    const std::string file = this->folder + "/" + this->name + ".conf";
    std::ofstream(file) << settings;
    this->set_variable(standin::settings_variable, file);
}

node_process::~node_process()
{
    if (this->is_running())
    {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        ::waitpid(this->id, nullptr, 0);
    }
}

void node_process::start()
{
    std::vector<std::string> arguments{this->program, this->role};
    std::vector<std::string> environment;
    for (const auto& [variable, value] : this->variables)
    {
        environment.push_back(variable);
        environment.back().append("=").append(value);
    }
    // Of two variables of the same name the first applies.
    for (char** variable = ::environ; *variable != nullptr; ++variable)
    {
        environment.emplace_back(*variable);
    }
    const log_redirection files(this->log_file());
    // Does not copy the memory of the soak, unlike fork().
    const int error = ::posix_spawn(
        &this->id, this->program.c_str(), files.get(), nullptr,
        pointers_to(arguments).data(), pointers_to(environment).data());
    if (error != 0)
    {
        throw std::runtime_error("cannot start " + this->program);
    }
}

void node_process::signal(int number)
{
    if (this->is_running())
    {
        ::kill(this->id, number);
    }
}

bool node_process::is_running()
{
    const bool has_ended =
        this->id != 0 && ::waitpid(this->id, nullptr, WNOHANG) != 0;
    if (has_ended)
    {
        this->id = 0;
    }
    return this->id != 0;
}

} // namespace masticslip::soak
