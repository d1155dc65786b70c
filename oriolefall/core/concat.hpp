#ifndef ORIOLEFALL_CORE_CONCAT_HPP
#define ORIOLEFALL_CORE_CONCAT_HPP

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>

namespace oriolefall::core {

namespace detail {

inline void append(std::string& text, std::string_view part)
{
    text.append(part);
}

/// Appends a number in its shortest decimal form.
template <class Number>
    requires std::is_arithmetic_v<Number>
void append(std::string& text, Number value)
{
    char digits[64];
    const auto end = std::to_chars(digits, digits + sizeof(digits), value);
    text.append(digits, end.ptr);
}

} // namespace detail

/// Concatenates strings and numbers. Replaces absl::StrCat for arguments of
/// type std::string_view, which Abseil does not accept if it was built with a
/// string view type of its own.
template <class... Part>
[[nodiscard]] std::string concat(const Part&... part)
{
    std::string text;
    (detail::append(text, part), ...);
    return text;
}

} // namespace oriolefall::core

#endif
