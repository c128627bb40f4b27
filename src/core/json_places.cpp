#include "json_places.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace masticslip::detail
{

namespace
{

/// Walks over a valid JSON text once.
class json_scanner
{
public:
    json_scanner(
        std::string_view text,
        const std::function<void(const json_place&)>& visit)
        : text(text), visit(visit)
    {
    }

    void run()
    {
        this->skip_space();
        this->visit({this->path, this->position, false});
        this->scan_value();
    }

private:
    [[nodiscard]] char current() const
    {
        return this->position < this->text.size() ? this->text[this->position]
                                                  : '\0';
    }

    void skip_space()
    {
        this->position = std::min(
            this->text.find_first_not_of(" \t\r\n", this->position),
            this->text.size());
    }

    /// Skips one punctuation character and the space after it.
    void skip_mark()
    {
        ++this->position;
        this->skip_space();
    }

    /// Skips a string literal and returns it with its quotes.
    std::string_view scan_string()
    {
        const std::size_t start = this->position++;
        while (this->position < this->text.size() && this->current() != '"')
        {
            this->position += this->current() == '\\' ? 2 : 1;
        }
        ++this->position;
        return this->text.substr(start, this->position - start);
    }

    void scan_value()
    {
        if (this->current() == '{')
        {
            this->scan_object();
        }
        else if (this->current() == '[')
        {
            this->scan_array();
        }
        else if (this->current() == '"')
        {
            this->scan_string();
        }
        else
        {
            this->position = std::min(
                this->text.find_first_of(" \t\r\n,]}", this->position),
                this->text.size());
        }
        this->skip_space();
    }

    void scan_object()
    {
        std::set<std::string> keys;
        this->skip_mark();
        while (this->position < this->text.size() && this->current() != '}')
        {
            const std::size_t offset = this->position;
            const std::string key = decode(this->scan_string());
            this->skip_space();
            this->skip_mark();
            const std::size_t length = this->path.size();
            this->path += '.';
            this->path += key;
            this->visit({this->path, offset, !keys.insert(key).second});
            this->scan_value();
            this->path.resize(length);
            this->skip_comma();
        }
        ++this->position;
    }

    void scan_array()
    {
        this->skip_mark();
        for (std::size_t i = 0;
             this->position < this->text.size() && this->current() != ']'; ++i)
        {
            const std::size_t length = this->path.size();
            this->path += '[';
            this->path += std::to_string(i);
            this->path += ']';
            this->visit({this->path, this->position, false});
            this->scan_value();
            this->path.resize(length);
            this->skip_comma();
        }
        ++this->position;
    }

    void skip_comma()
    {
        if (this->current() == ',')
        {
            this->skip_mark();
        }
    }

    static std::string decode(std::string_view literal)
    {
        return std::string(boost::json::parse(literal).as_string());
    }

    std::string_view text;
    const std::function<void(const json_place&)>& visit;
    std::string path = "$";
    std::size_t position = 0;
};

/// The path of the enclosing entry; empty for that of the whole document.
std::string parent_of(const std::string& path)
{
    const auto end = path.find_last_of(".[");
    return end == std::string::npos ? std::string() : path.substr(0, end);
}

} // namespace

void scan_json(
    std::string_view text, const std::function<void(const json_place&)>& visit)
{
    json_scanner(text, visit).run();
}

text_place place_of(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto lines = std::count(before.begin(), before.end(), '\n');
    const auto line_end = before.rfind('\n');
    const std::size_t line_start =
        line_end == std::string_view::npos ? 0 : line_end + 1;
    return {static_cast<std::size_t>(lines) + 1, offset - line_start + 1};
}

void locate_findings(
    std::string_view text, std::vector<configuration_finding>& findings)
{
    // Paths of which the place is needed, with those that enclose them.
    std::map<std::string, std::optional<std::size_t>, std::less<>> offsets;
    for (const auto& item : findings)
    {
        for (std::string path = item.path; !item.place && !path.empty();
             path = parent_of(path))
        {
            offsets.emplace(path, std::nullopt);
        }
    }
    scan_json(
        text,
        [&offsets](const json_place& item)
        {
            const auto found = offsets.find(item.path);
            if (found != offsets.end())
            {
                found->second = item.offset;
            }
        });
    for (auto& item : findings)
    {
        for (std::string path = item.path; !item.place && !path.empty();
             path = parent_of(path))
        {
            const auto offset = offsets.at(path);
            if (offset)
            {
                item.place = place_of(text, *offset);
            }
        }
    }
}

} // namespace masticslip::detail
