#include "oriolefall/front/json_text.hpp"

namespace oriolefall::front {

using nlohmann::json;

std::optional<json> parse_json_object(std::string_view text)
{
    auto value = json_text::parse(text);
    if (!value || !value->is_object())
        return std::nullopt;
    return value;
}

std::string to_text(const json& value)
{
    return json_text::print(value);
}

} // namespace oriolefall::front
