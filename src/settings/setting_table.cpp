#include "setting_table.hpp"

#include "masticslip/core/types.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <memory>

#include <tclap/CmdLine.h>

namespace masticslip
{

namespace
{

constexpr std::size_t key_digits = 32;
constexpr std::size_t max_name_length = 64;

std::string describe(const TCLAP::ArgException& error)
{
    return error.argId() + ": " + error.error();
}

} // namespace

std::string environment_name(const std::string& setting)
{
    std::string result = "MASTICSLIP_";
    for (const char character : setting)
    {
        const bool is_dash = character == '-';
        result += is_dash ? '_' : static_cast<char>(std::toupper(character));
    }
    return result;
}

setting_table::setting_table(
    std::string program, std::string version, std::vector<setting> settings)
    : program(std::move(program)), version(std::move(version)),
      settings(std::move(settings))
{
}

void setting_table::add_switch(std::string name, std::string description)
{
    this->switches.push_back(
        {std::move(name), std::move(description), "", any_value()});
}

std::optional<setting_values> setting_table::read(
    int argc,
    const char* const* argv,
    std::vector<std::string>& faults,
    std::vector<std::string>* positional_arguments) const
{
    TCLAP::CmdLine line(this->program, ' ', this->version);
    // Makes TCLAP throw instead of exiting on invalid arguments.
    line.setExceptionHandling(false);
    std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> args;
    for (const auto& item : this->settings)
    {
        const std::string text = item.description + " [" +
                                 environment_name(item.name) + "] (default: '" +
                                 item.default_value + "')";
        args[item.name] = std::make_unique<TCLAP::ValueArg<std::string>>(
            "", item.name, text, false, item.default_value, "value", line);
    }
    std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> flags;
    for (const auto& item : this->switches)
    {
        flags[item.name] = std::make_unique<TCLAP::SwitchArg>(
            "", item.name, item.description, line);
    }
    std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> positional;
    if (positional_arguments != nullptr)
    {
        positional = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
            "words", "verb and its arguments", false, "words", line);
    }
    try
    {
        line.parse(argc, argv);
    }
    catch (const TCLAP::ExitException& exit)
    {
        std::exit(exit.getExitStatus()); // After --help or --version.
    }
    catch (const TCLAP::ArgException& error)
    {
        faults.push_back(describe(error));
    }
    std::map<std::string, std::string> values;
    for (const auto& item : this->settings)
    {
        const auto& arg = *args.at(item.name);
        const char* variable = std::getenv(environment_name(item.name).c_str());
        const bool from_environment = !arg.isSet() && variable != nullptr;
        values[item.name] = from_environment ? variable : arg.getValue();
        const auto fault = item.check(values[item.name]);
        if (fault)
        {
            faults.push_back(
                "--" + item.name + " (" + environment_name(item.name) + ") '" +
                values[item.name] + "': " + *fault);
        }
    }
    for (const auto& item : this->switches)
    {
        values[item.name] = flags.at(item.name)->getValue() ? "1" : "";
    }
    if (positional_arguments != nullptr)
    {
        *positional_arguments = positional->getValue();
    }
    if (!faults.empty())
    {
        return std::nullopt;
    }
    return setting_values(std::move(values));
}

std::string setting_table::markdown() const
{
    std::string result = "| flag | environment variable | default | meaning |\n"
                         "|---|---|---|---|\n";
    for (const auto& item : this->settings)
    {
        result +=
            "| `--" + item.name + "` | `" + environment_name(item.name) +
            "` | " +
            (item.default_value.empty() ? "" : "`" + item.default_value + "`") +
            " | " + item.description + " |\n";
    }
    for (const auto& item : this->switches)
    {
        result +=
            "| `--" + item.name + "` | | off | " + item.description + " |\n";
    }
    return result;
}

setting_check any_value()
{
    return [](const std::string&) -> std::optional<std::string>
    {
        return std::nullopt;
    };
}

setting_check required(setting_check check)
{
    return [check = std::move(check)](
               const std::string& value) -> std::optional<std::string>
    {
        if (value.empty())
        {
            return "must be given";
        }
        return check(value);
    };
}

setting_check endpoint_value()
{
    return [](const std::string& value) -> std::optional<std::string>
    {
        if (value.empty() || parse_endpoint(value))
        {
            return std::nullopt;
        }
        return "must be an IPv4 address and port, such as 127.0.0.1:7000";
    };
}

setting_check endpoint_list()
{
    return [](const std::string& value) -> std::optional<std::string>
    {
        for (const auto& item : split_list(value))
        {
            if (!parse_endpoint(item))
            {
                return "'" + item + "' is not an IPv4 address and port";
            }
        }
        return std::nullopt;
    };
}

setting_check number_value(std::uint64_t low, std::uint64_t high)
{
    return [low, high](const std::string& value) -> std::optional<std::string>
    {
        std::uint64_t number = 0;
        const char* end = value.data() + value.size();
        const auto [stop, error] = std::from_chars(value.data(), end, number);
        const bool is_integer = error == std::errc{} && stop == end;
        if (is_integer && number >= low && number <= high)
        {
            return std::nullopt;
        }
        return "must be a whole number from " + std::to_string(low) + " to " +
               std::to_string(high);
    };
}

setting_check one_of(std::vector<std::string> choices)
{
    return [choices = std::move(choices)](
               const std::string& value) -> std::optional<std::string>
    {
        if (std::find(choices.begin(), choices.end(), value) != choices.end())
        {
            return std::nullopt;
        }
        std::string text = "must be one of";
        for (const auto& choice : choices)
        {
            text += " " + choice;
        }
        return text;
    };
}

setting_check hex_key()
{
    return [](const std::string& value) -> std::optional<std::string>
    {
        const bool digits = value.find_first_not_of("0123456789abcdefABCDEF") ==
                            std::string::npos;
        if (value.empty() || (digits && value.size() == key_digits))
        {
            return std::nullopt;
        }
        return "must be 32 hexadecimal digits";
    };
}

setting_check name_value()
{
    return [](const std::string& value) -> std::optional<std::string>
    {
        if (value.size() <= max_name_length)
        {
            return std::nullopt;
        }
        return "must have at most 64 characters";
    };
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> result;
    std::size_t start = 0;
    while (start < text.size())
    {
        const std::size_t end = std::min(text.find(',', start), text.size());
        if (end > start)
        {
            result.push_back(text.substr(start, end - start));
        }
        start = end + 1;
    }
    return result;
}

} // namespace masticslip
