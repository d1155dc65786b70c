#ifndef ORIOLEFALL_FRONT_JSON_TEXT_HPP
#define ORIOLEFALL_FRONT_JSON_TEXT_HPP

#include "oriolefall/json_text/json_text.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::front {

/// Maximum nesting depth of a caller's JSON. Limits the recursion of functions
/// that walk the parsed value.
inline constexpr std::size_t max_json_depth = json_text::max_depth;

/// Parses text that must be one JSON object. Returns std::nullopt for anything
/// else, for text that is not UTF-8 and for nesting above `max_json_depth`.
[[nodiscard]] std::optional<nlohmann::json>
parse_json_object(std::string_view text);

/// Serializes a value without whitespace. Bytes that are not UTF-8 are replaced
/// by U+FFFD.
[[nodiscard]] std::string to_text(const nlohmann::json& value);

} // namespace oriolefall::front

#endif
