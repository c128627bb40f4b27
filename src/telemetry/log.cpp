#include "log.hpp"

#include <boost/log/expressions.hpp>
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
        target,
        logging::keywords::format =
            (expressions::stream
             << "time="
             << expressions::format_date_time<boost::posix_time::ptime>(
                    "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
             << " level=" << logging::trivial::severity << ' '
             << expressions::smessage),
        logging::keywords::auto_flush = true);
    logging::core::get()->set_filter(logging::trivial::severity >= threshold);
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
    BOOST_LOG_STREAM_WITH_PARAMS(
        logging::trivial::logger::get(),
        (logging::keywords::severity = this->level))
        << this->text;
}

log_line& log_line::field(std::string_view key, std::string_view value)
{
    if (!this->text.empty())
    {
        this->text += ' ';
    }
    this->text += key;
    this->text += '=';
    const bool quoted =
        value.empty() || value.find_first_of(" \"=\n") != value.npos;
    if (!quoted)
    {
        this->text += value;
        return *this;
    }
    this->text += '"';
    for (const char symbol : value)
    {
        const bool special = symbol == '"' || symbol == '\\';
        this->text += special ? "\\" : "";
        this->text += symbol == '\n' ? ' ' : symbol;
    }
    this->text += '"';
    return *this;
}

} // namespace masticslip
