#include "oriolefall/settings/json_text.hpp"

#include "oriolefall/core/concat.hpp"

#include <set>
#include <string>

namespace oriolefall::settings {

namespace {

using parse_event = nlohmann::json::parse_event_t;

/// Follows the parser through a text and notes keys that repeat.
class duplicate_key_finder
{
public:
    void on(parse_event event, const nlohmann::json& parsed)
    {
        switch (event) {
        case parse_event::object_start:
        case parse_event::array_start:
            frames_.emplace_back().is_array = event == parse_event::array_start;
            break;
        case parse_event::object_end:
        case parse_event::array_end:
            frames_.pop_back();
            end_of_element();
            break;
        case parse_event::key:
            note_key(parsed.get<std::string>());
            break;
        case parse_event::value:
            end_of_element();
            break;
        }
    }

    [[nodiscard]] errors take()
    {
        return std::move(found_);
    }

private:
    struct frame
    {
        bool is_array = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void end_of_element()
    {
        if (!frames_.empty() && frames_.back().is_array)
            ++frames_.back().index;
    }

    void note_key(const std::string& key)
    {
        frame& object = frames_.back();
        object.key = key;
        if (!object.keys.insert(key).second)
            found_.push_back(
                {path(), "a key that stands twice", "each key once"});
    }

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const frame& some : frames_)
            text += core::concat("/", some.is_array ? core::concat(some.index)
                                                    : some.key);
        return text;
    }

    std::vector<frame> frames_;
    errors found_;
};

} // namespace

std::variant<nlohmann::json, errors> parse_json(std::string_view text)
{
    duplicate_key_finder duplicates;
    const auto follow = [&](int, parse_event event, nlohmann::json& parsed) {
        duplicates.on(event, parsed);
        return true;
    };
    try {
        nlohmann::json value = nlohmann::json::parse(text, follow, true, true);
        errors found = duplicates.take();
        if (!found.empty())
            return found;
        return value;
    } catch (const nlohmann::json::parse_error& error) {
        return errors{{"/", error.what(), "JSON with comments"}};
    }
}

} // namespace oriolefall::settings
