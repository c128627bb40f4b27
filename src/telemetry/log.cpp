#include "log.hpp"

#include "bounded_output.hpp"

#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <atomic>
#include <iostream>

namespace masticslip
{

namespace logging = boost::log;
namespace expressions = logging::expressions;

namespace
{

std::atomic<log_level> current_threshold{log_level::info};
std::atomic<std::uint64_t> dropped_lines{0};

/// Maximum size in bytes of log lines buffered for a slow reader.
constexpr std::size_t log_buffer_size = std::size_t{64} * 1024;

/// Boost.Log backend that writes formatted lines to a `bounded_output`.
class bounded_backend final
    : public logging::sinks::basic_formatted_sink_backend<
          char,
          logging::sinks::synchronized_feeding>
{
public:
    explicit bounded_backend(int descriptor)
        : output(descriptor, log_buffer_size)
    {
    }

    void consume(const logging::record_view&, const std::string& line)
    {
        this->output.write(line);
        dropped_lines = this->output.dropped_lines();
    }

private:
    bounded_output output;
};

auto line_format()
{
    return expressions::stream
           << "time="
           << expressions::format_date_time<boost::posix_time::ptime>(
                  "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
           << " level=" << logging::trivial::severity << ' '
           << expressions::smessage;
}

} // namespace

bool is_log_enabled(log_level level)
{
    return level >= current_threshold.load(std::memory_order_relaxed);
}

void initialize_log(log_level threshold, std::ostream& target)
{
    current_threshold = threshold;
    logging::add_common_attributes();
    logging::add_console_log(
        target, logging::keywords::format = line_format(),
        logging::keywords::auto_flush = true);
    logging::core::get()->set_filter(logging::trivial::severity >= threshold);
}

void initialize_bounded_log(log_level threshold, int descriptor)
{
    current_threshold = threshold;
    logging::add_common_attributes();
    using sink_type = logging::sinks::synchronous_sink<bounded_backend>;
    const auto sink = boost::make_shared<sink_type>(
        boost::make_shared<bounded_backend>(descriptor));
    sink->set_formatter(line_format());
    logging::core::get()->add_sink(sink);
    logging::core::get()->set_filter(logging::trivial::severity >= threshold);
}

std::uint64_t dropped_log_lines()
{
    return dropped_lines;
}

bool parse_log_level(std::string_view text, log_level& level)
{
    return logging::trivial::from_string(text.data(), text.size(), level);
}

log_line::log_line(log_level level, std::string_view event) : level(level)
{
    this->field("event", event);
}

log_line::~log_line()
{
    write_log_text(this->level, this->text);
}

log_line& log_line::field(std::string_view key, std::string_view value)
{
    append_log_field(this->text, key, value);
    return *this;
}

void write_log_text(log_level level, const std::string& text)
{
    BOOST_LOG_STREAM_WITH_PARAMS(
        logging::trivial::logger::get(), (logging::keywords::severity = level))
        << text;
}

void append_log_field(
    std::string& text, std::string_view key, std::string_view value)
{
    if (!text.empty())
    {
        text += ' ';
    }
    text += key;
    text += '=';
    const bool needs_quotes =
        value.empty() || value.find_first_of(" \"=\n") != value.npos;
    if (!needs_quotes)
    {
        text += value;
        return;
    }
    text += '"';
    for (const char character : value)
    {
        const bool needs_escape = character == '"' || character == '\\';
        text += needs_escape ? "\\" : "";
        text += character == '\n' ? ' ' : character;
    }
    text += '"';
}

} // namespace masticslip
