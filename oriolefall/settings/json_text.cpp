#include "oriolefall/settings/json_text.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/json_text/json_text.hpp"

#include <set>
#include <string>

namespace oriolefall::settings {

namespace {

using parse_event = nlohmann::json::parse_event_t;

/// Receives the events of the JSON parser and reports keys that an object
/// holds more than once, with their paths.
class duplicate_key_finder
{
public:
    void on_event(parse_event event, const nlohmann::json& parsed)
    {
        switch (event) {
        case parse_event::object_start:
        case parse_event::array_start:
            frames_.emplace_back().is_array = event == parse_event::array_start;
            break;
        case parse_event::object_end:
        case parse_event::array_end:
            frames_.pop_back();
            finish_element();
            break;
        case parse_event::key:
            record_key(parsed.get<std::string>());
            break;
        case parse_event::value:
            finish_element();
            break;
        }
    }

    [[nodiscard]] errors take_faults()
    {
        return std::move(faults_);
    }

private:
    struct frame
    {
        bool is_array = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void finish_element()
    {
        if (!frames_.empty() && frames_.back().is_array)
            ++frames_.back().index;
    }

    void record_key(const std::string& key)
    {
        frame& current = frames_.back();
        current.key = key;
        if (!current.keys.insert(key).second)
            faults_.push_back(
                {path(), "a key that stands twice", "each key once"});
    }

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const frame& current : frames_)
            text +=
                core::concat("/", current.is_array ? core::concat(current.index)
                                                   : current.key);
        return text;
    }

    std::vector<frame> frames_;
    errors faults_;
};

} // namespace

std::variant<nlohmann::json, errors> parse_json(std::string_view text)
{
    if (json_text::is_nested_deeper(text, json_text::max_depth))
        return errors{
            {"/", "arrays and objects nested too deep", "at most 64 levels"}};
    duplicate_key_finder duplicates;
    const auto on_event = [&](int, parse_event event, nlohmann::json& parsed) {
        duplicates.on_event(event, parsed);
        return true;
    };
    try {
        nlohmann::json value =
            nlohmann::json::parse(text, on_event, true, true);
        errors faults = duplicates.take_faults();
        if (!faults.empty())
            return faults;
        return value;
    } catch (const nlohmann::json::parse_error& error) {
        return errors{{"/", error.what(), "JSON with comments"}};
    }
}

} // namespace oriolefall::settings
