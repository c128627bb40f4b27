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
    if (this->unreported_drops != 0)
    {
        text = "level=warning event=log_lines_lost count=" +
               std::to_string(this->unreported_drops) + '\n';
    }
    text += line;
    text += '\n';
    if (this->buffer.size() + text.size() > this->capacity)
    {
        ++this->dropped;
        ++this->unreported_drops;
        return;
    }
    this->unreported_drops = 0;
    this->buffer += text;
    this->flush();
}

void bounded_output::flush()
{
    while (!this->buffer.empty())
    {
        const ssize_t written =
            ::write(this->descriptor, this->buffer.data(), this->buffer.size());
        if (written <= 0)
        {
            return;
        }
        this->buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace masticslip
