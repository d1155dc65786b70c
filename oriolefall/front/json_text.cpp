#include "oriolefall/front/json_text.hpp"

namespace oriolefall::front {

using nlohmann::json;

std::optional<json> parse_json_object(std::string_view text)
{
    bool is_too_deep = false;
    const auto limit_depth = [&](int depth, json::parse_event_t, json&) {
        is_too_deep = is_too_deep || depth > max_json_depth;
        return !is_too_deep;
    };
    json value = json::parse(text, limit_depth, false);
    if (is_too_deep || value.is_discarded() || !value.is_object())
        return std::nullopt;
    return value;
}

std::string to_text(const json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false, json::error_handler_t::replace);
}

} // namespace oriolefall::front
