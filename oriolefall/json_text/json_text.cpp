#include "oriolefall/json_text/json_text.hpp"

#include "oriolefall/json_text/value_slices.hpp"

namespace oriolefall::json_text {

bool is_nested_deeper(std::string_view text, std::size_t depth)
{
    std::size_t open = 0;
    for (auto at = detail::next_mark(text, 0); at < text.size();
         at = detail::next_mark(text, at + 1)) {
        if (detail::is_opening(text[at])) {
            if (++open > depth)
                return true;
        } else if (detail::is_closing(text[at]) && open > 0) {
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

std::optional<std::uint64_t> parse_unsigned(std::string_view text)
{
    const auto value = parse(text);
    return value && value->is_number_unsigned()
               ? std::optional(value->get<std::uint64_t>())
               : std::nullopt;
}

std::string print(const nlohmann::json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false,
                      nlohmann::json::error_handler_t::replace);
}

} // namespace oriolefall::json_text
