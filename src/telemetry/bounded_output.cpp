#include "bounded_output.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace masticslip
{

bounded_output::bounded_output(int descriptor, std::size_t capacity)
    : descriptor(descriptor), capacity(capacity)
{
    const int flags = ::fcntl(descriptor, F_GETFL, 0);
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void bounded_output::write(std::string_view line)
{
    this->flush();
    std::string text;
    if (this->unreported != 0)
    {
        text = "level=warning event=log_lines_lost count=" +
               std::to_string(this->unreported) + '\n';
    }
    text += line;
    text += '\n';
    if (this->waiting.size() + text.size() > this->capacity)
    {
        ++this->lost_lines;
        ++this->unreported;
        return;
    }
    this->unreported = 0;
    this->waiting += text;
    this->flush();
}

void bounded_output::flush()
{
    while (!this->waiting.empty())
    {
        const ssize_t written = ::write(
            this->descriptor, this->waiting.data(), this->waiting.size());
        if (written <= 0)
        {
            return;
        }
        this->waiting.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace masticslip
