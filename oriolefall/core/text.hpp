#ifndef ORIOLEFALL_CORE_TEXT_HPP
#define ORIOLEFALL_CORE_TEXT_HPP

#include <absl/strings/string_view.h>

#include <string_view>

namespace oriolefall::core {

/// Converts a string view for Abseil, which may have been built with a string
/// view type of its own. Thread-safe.
[[nodiscard]] inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace oriolefall::core

#endif
