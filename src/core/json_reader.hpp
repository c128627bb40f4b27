#pragma once
/// Strict reader for JSON objects: unknown keys are errors, and each error
/// names the path of the key.

#include "fault_list.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace masticslip::detail
{

/// Reads the members of one JSON object and collects the errors.
class json_reader
{
public:
    /// The value and the list must outlive the reader.
    json_reader(
        const boost::json::value& value, std::string path, fault_list& faults)
        : path(std::move(path)), faults(faults)
    {
        this->object = value.if_object();
        if (this->object == nullptr)
        {
            this->fail("", finding_kind::wrong_type, "must be an object");
        }
    }

    /// Returns the member, or null (an error if it is required).
    const boost::json::value* member(std::string_view key, bool required)
    {
        this->requested_keys.insert(std::string(key));
        if (this->object == nullptr)
        {
            return nullptr;
        }
        const auto* found = this->object->if_contains(key);
        if (found == nullptr && required)
        {
            this->fail(key, finding_kind::missing_key, "is missing");
        }
        return found;
    }

    /// Reads a string member; empty if it is missing and not required.
    std::string text(std::string_view key, bool required)
    {
        const auto* found = this->member(key, required);
        if (found == nullptr)
        {
            return {};
        }
        if (!found->is_string())
        {
            this->fail(key, finding_kind::wrong_type, "must be a string");
            return {};
        }
        return std::string(found->as_string());
    }

    /// Reads an integer within [low, high]. Without `fallback` the member is
    /// required.
    std::uint64_t number(
        std::string_view key,
        std::uint64_t low,
        std::uint64_t high,
        std::optional<std::uint64_t> fallback)
    {
        const auto* found = this->member(key, !fallback.has_value());
        if (found == nullptr)
        {
            return fallback.value_or(low);
        }
        boost::json::error_code error;
        const auto value = found->to_number<std::uint64_t>(error);
        if (error || value < low || value > high)
        {
            this->fail(
                key, number_fault(*found),
                "must be a whole number from " + std::to_string(low) + " to " +
                    std::to_string(high));
            return low;
        }
        return value;
    }

    /// Reads a floating-point number within [low, high].
    double real(std::string_view key, double low, double high, double fallback)
    {
        const auto* found = this->member(key, false);
        if (found == nullptr)
        {
            return fallback;
        }
        boost::json::error_code error;
        const auto value = found->to_number<double>(error);
        if (error || !(value >= low && value <= high))
        {
            this->fail(
                key, number_fault(*found),
                "must be a number from " + std::to_string(low) + " to " +
                    std::to_string(high));
            return fallback;
        }
        return value;
    }

    /// Returns an array member, or null.
    const boost::json::array* array(std::string_view key, bool required)
    {
        const auto* found = this->member(key, required);
        if (found == nullptr)
        {
            return nullptr;
        }
        if (!found->is_array())
        {
            this->fail(key, finding_kind::wrong_type, "must be an array");
        }
        return found->if_array();
    }

    /// Records an error if the object has members that were not read.
    void reject_unknown_keys()
    {
        if (this->object == nullptr)
        {
            return;
        }
        for (const auto& item : *this->object)
        {
            if (!this->requested_keys.contains(std::string(item.key())))
            {
                this->fail(
                    item.key(), finding_kind::unknown_key, "unknown key");
            }
        }
    }

    /// Records an error, unless the path has one.
    void
    fail(std::string_view key, finding_kind kind, const std::string& problem)
    {
        this->faults.add(kind, this->path_of(key), problem);
    }

    /// Path of a member for error messages, such as `$.services[0].name`.
    [[nodiscard]] std::string path_of(std::string_view key) const
    {
        return key.empty() ? this->path : this->path + "." + std::string(key);
    }

private:
    static finding_kind number_fault(const boost::json::value& value)
    {
        return value.is_number() ? finding_kind::out_of_range
                                 : finding_kind::wrong_type;
    }

    const boost::json::object* object = nullptr;
    std::string path;
    fault_list& faults;
    std::set<std::string> requested_keys;
};

} // namespace masticslip::detail
