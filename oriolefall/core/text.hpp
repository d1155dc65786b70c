#ifndef ORIOLEFALL_CORE_TEXT_HPP
#define ORIOLEFALL_CORE_TEXT_HPP

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

#include <string_view>

namespace oriolefall::core {

/// Converts a string view for Abseil, which may have been built with a string
/// view type of its own. Thread-safe.
[[nodiscard]] inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Compares ASCII letters without regard to their case.
[[nodiscard]] inline bool equals_ignore_case(std::string_view left,
                                             std::string_view right)
{
    return absl::EqualsIgnoreCase(to_absl(left), to_absl(right));
}

} // namespace oriolefall::core

#endif
