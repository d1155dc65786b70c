#include "oriolefall/json_text/json_text.hpp"

namespace oriolefall::json_text {

std::optional<nlohmann::json> parse(std::string_view text)
{
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded())
        return std::nullopt;
    return value;
}

std::string print(const nlohmann::json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false,
                      nlohmann::json::error_handler_t::replace);
}

} // namespace oriolefall::json_text
