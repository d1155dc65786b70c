#ifndef ORIOLEFALL_JSON_TEXT_JSON_TEXT_HPP
#define ORIOLEFALL_JSON_TEXT_JSON_TEXT_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::json_text {

/// Parses JSON that somebody else wrote. Returns nullopt for text that is no
/// JSON or not UTF-8, and for numbers that are out of range. Thread-safe.
[[nodiscard]] std::optional<nlohmann::json> parse(std::string_view text);

/// Prints a value without whitespace. Bytes that are not UTF-8 are replaced by
/// U+FFFD. Thread-safe.
[[nodiscard]] std::string print(const nlohmann::json& value);

} // namespace oriolefall::json_text

#endif
