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

/// Numbers in their shortest decimal form.
template <class Number>
    requires std::is_arithmetic_v<Number>
void append(std::string& text, Number value)
{
    char digits[64];
    const auto end = std::to_chars(digits, digits + sizeof(digits), value);
    text.append(digits, end.ptr);
}

} // namespace detail

/// The parts, text or numbers, one after the other. Stands beside
/// absl::StrCat, which does not take std::string_view here.
template <class... Part>
[[nodiscard]] std::string concat(const Part&... part)
{
    std::string text;
    (detail::append(text, part), ...);
    return text;
}

} // namespace oriolefall::core

#endif
