#include "story_commands.hpp"

#include "log_story.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace masticslip
{

namespace
{

/// Reads the files after the first argument; `-` is standard input.
bool read_logs(const command_context& context, log_story& story)
{
    for (std::size_t i = 1; i < context.arguments.size(); ++i)
    {
        const std::string& path = context.arguments[i];
        if (path == "-")
        {
            story.add(
                "standard input",
                std::string(std::istreambuf_iterator<char>(std::cin), {}));
            continue;
        }
        std::ifstream file(path);
        if (!file)
        {
            context.errors << "masticslip: cannot read " << path << '\n';
            return false;
        }
        story.add(path, std::string(std::istreambuf_iterator<char>(file), {}));
    }
    return true;
}

cli_exit print_timeline(
    const command_context& context,
    const log_story& story,
    const std::vector<log_record>& records)
{
    if (records.empty())
    {
        context.errors << "masticslip: no log line mentions "
                       << context.arguments[0] << '\n';
        return cli_exit::not_found;
    }
    for (const auto& record : records)
    {
        context.out << record.process << ' ' << record.text << '\n';
    }
    for (const auto& item : story.clock_skews(records))
    {
        context.out << "note: the clock of " << item.receiver << " is at least "
                    << item.minimum.count() << " us behind that of "
                    << item.sender << "; lines of both may be out of order\n";
    }
    if (story.skipped() != 0)
    {
        context.out << "note: " << story.skipped()
                    << " lines could not be parsed\n";
    }
    return cli_exit::success;
}

} // namespace

cli_exit show_flow_timeline(const command_context& context)
{
    log_story story;
    if (!read_logs(context, story))
    {
        return cli_exit::failure;
    }
    return print_timeline(
        context, story, story.flow_records(context.arguments[0]));
}

cli_exit show_policy_timeline(const command_context& context)
{
    log_story story;
    if (!read_logs(context, story))
    {
        return cli_exit::failure;
    }
    return print_timeline(
        context, story, story.policy_records(context.arguments[0]));
}

} // namespace masticslip
