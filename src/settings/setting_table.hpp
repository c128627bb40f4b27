#pragma once
/// Settings from flags and environment variables, validated together.
///
///     setting_table table("masticslipd", "0.1.0", {...});
///     auto values = table.read(argc, argv, faults);
///
/// Every setting has one flag `--some-name` and one environment variable
/// `MASTICSLIP_SOME_NAME`; the flag takes precedence. All errors are
/// reported at once.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticslip
{

/// Exit code for invalid settings or arguments.
constexpr int exit_usage = 2;

/// Validator of a value: returns an error message, or nullopt if it is valid.
using setting_check =
    std::function<std::optional<std::string>(const std::string&)>;

struct setting
{
    std::string name;
    std::string description;
    std::string default_value;
    setting_check check;
};

/// Values by setting name.
class setting_values
{
public:
    explicit setting_values(std::map<std::string, std::string> values)
        : values(std::move(values))
    {
    }

    /// Precondition: the setting is in the table.
    [[nodiscard]] const std::string& get(const std::string& name) const
    {
        return this->values.at(name);
    }

    /// True if the value is not empty, also if it is the default. For a
    /// switch: true if it was given.
    [[nodiscard]] bool is_set(const std::string& name) const
    {
        return !this->get(name).empty();
    }

private:
    std::map<std::string, std::string> values;
};

/// The settings of one program. Immutable after construction.
class setting_table
{
public:
    setting_table(
        std::string program,
        std::string version,
        std::vector<setting> settings);

    /// Reads and validates all settings. `--help` and `--version` exit the
    /// process. If any value is invalid, returns nullopt and appends a
    /// message for each to `faults`. Positional arguments are stored in
    /// `positional_arguments` if it is not null.
    std::optional<setting_values> read(
        int argc,
        const char* const* argv,
        std::vector<std::string>& faults,
        std::vector<std::string>* positional_arguments = nullptr) const;

    /// Markdown table of all settings for the documentation.
    [[nodiscard]] std::string markdown() const;

    /// Adds a switch: a flag that takes no value.
    void add_switch(std::string name, std::string description);

private:
    std::string program;
    std::string version;
    std::vector<setting> settings;
    std::vector<setting> switches;
};

/// Name of the environment variable of a setting.
std::string environment_name(const std::string& setting);

/// Validators of common kinds of values. All except `required`, `number_value`
/// and `one_of` accept an empty value.
setting_check any_value();
setting_check required(setting_check check);
setting_check endpoint_value();
setting_check endpoint_list();
setting_check number_value(std::uint64_t low, std::uint64_t high);
setting_check one_of(std::vector<std::string> choices);
setting_check hex_key();
setting_check name_value();

/// Splits a comma-separated list and drops empty items; an empty text gives an
/// empty list.
std::vector<std::string> split_list(const std::string& text);

} // namespace masticslip
