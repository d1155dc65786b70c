#ifndef ORIOLEFALL_FRONT_JSON_TEXT_HPP
#define ORIOLEFALL_FRONT_JSON_TEXT_HPP

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::front {

/// Deepest nesting of a caller's JSON that is taken. Bounds the recursion of
/// whatever walks the value afterwards.
inline constexpr int max_json_depth = 64;

/// Parses text that must be one JSON object; nothing for anything else, for
/// text that is not UTF-8 and for nesting above `max_json_depth`.
[[nodiscard]] std::optional<nlohmann::json>
parse_json_object(std::string_view text);

/// Prints a value; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string to_text(const nlohmann::json& value);

} // namespace oriolefall::front

#endif
