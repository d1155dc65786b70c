#ifndef ORIOLEFALL_JSON_TEXT_JSON_TEXT_HPP
#define ORIOLEFALL_JSON_TEXT_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::json_text {

/// Maximum nesting of arrays and objects in JSON that others send. Bounds the
/// recursion of functions that copy, print or walk the parsed value.
inline constexpr std::size_t max_depth = 64;

/// True if arrays and objects in `text` are nested deeper than `depth`. Looks
/// at brackets outside of strings only, so that any text has an answer.
/// Thread-safe.
[[nodiscard]] bool is_nested_deeper(std::string_view text, std::size_t depth);

/// Parses JSON that somebody else wrote. Returns nullopt for text that is no
/// JSON, not UTF-8, or nested deeper than `max_depth`, and for numbers that are
/// out of range. Thread-safe.
[[nodiscard]] std::optional<nlohmann::json> parse(std::string_view text);

/// Parses an integer that isn't negative, with the same bounds. Thread-safe.
[[nodiscard]] std::optional<std::uint64_t>
parse_unsigned(std::string_view text);

/// Prints a value without whitespace. Bytes that are not UTF-8 are replaced by
/// U+FFFD. Thread-safe.
[[nodiscard]] std::string print(const nlohmann::json& value);

} // namespace oriolefall::json_text

#endif
