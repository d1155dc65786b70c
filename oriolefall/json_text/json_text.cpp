#include "oriolefall/json_text/json_text.hpp"

#include "oriolefall/json_text/value_slices.hpp"

namespace oriolefall::json_text {

bool is_nested_deeper(std::string_view text, std::size_t depth)
{
    std::size_t open = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char next = text[at];
        if (next == '"') {
            at = detail::string_end(text, at) - 1;
        } else if (next == '[' || next == '{') {
            if (++open > depth)
                return true;
        } else if ((next == ']' || next == '}') && open > 0) {
            --open;
        }
    }
    return false;
}

std::optional<nlohmann::json> parse(std::string_view text)
{
    if (is_nested_deeper(text, max_depth))
        return std::nullopt;
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
