#ifndef ORIOLEFALL_JSON_TEXT_VALUE_SLICES_HPP
#define ORIOLEFALL_JSON_TEXT_VALUE_SLICES_HPP

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace oriolefall::json_text {

// These cut JSON text at its brackets, commas and quotes and look at nothing
// else: one value that can't be parsed then hides no other. What they return
// points into the text. Thread-safe.

/// The elements of the array that `text` holds; nullopt when it holds none, or
/// one without an end.
[[nodiscard]] std::optional<std::vector<std::string_view>>
elements(std::string_view text);

/// The value of the first member with this key of the object that `text` holds;
/// nullopt when there is none. `key`: without quotes and escapes.
[[nodiscard]] std::optional<std::string_view> member(std::string_view text,
                                                     std::string_view key);

/// The elements of the array that such a member holds.
[[nodiscard]] std::optional<std::vector<std::string_view>>
member_elements(std::string_view text, std::string_view key);

namespace detail {

/// Position after the string that begins at `begin`; the end of the text if it
/// has no end.
[[nodiscard]] std::size_t string_end(std::string_view text, std::size_t begin);

/// Position of the first bracket or comma outside of strings, from `begin` on;
/// the end of the text if there is none. `begin` must not be in a string.
[[nodiscard]] std::size_t next_mark(std::string_view text, std::size_t begin);

[[nodiscard]] inline bool is_opening(char mark)
{
    return mark == '[' || mark == '{';
}

[[nodiscard]] inline bool is_closing(char mark)
{
    return mark == ']' || mark == '}';
}

} // namespace detail

} // namespace oriolefall::json_text

#endif
